package elmsail.gateway.servers;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import org.junit.jupiter.api.Test;

class PromptTest {

  @Test
  void parsesSegmentsAndTokens() {
    Prompt p = Prompt.parse("5c1e07a2:800,91bd3f06:410, e4402b7d:250", "1460,80");
    assertThat(p.segmentTokens(), is(new int[] {800, 410, 250}));
    assertThat(p.totalTokens(), is(1_460));
    assertThat(p.sharedPrefixTokens(), is(1_210));
  }

  @Test
  void segmentKeyDependsOnAllSegmentsBeforeIt() {
    Prompt a = Prompt.parse("1:10,2:10,3:10", null);
    Prompt b = Prompt.parse("1:10,4:10,3:10", null);
    Prompt c = Prompt.parse("12:10,3:10", null);
    assertThat(a.segmentKeys()[0], is(b.segmentKeys()[0]));
    assertThat(a.segmentKeys()[2], is(not(b.segmentKeys()[2])));
    assertThat(a.segmentKeys()[1], is(not(c.segmentKeys()[0])));
  }

  @Test
  void malformedTokenCountsAreParsedAsZeroAndLargeOnesAreClamped() {
    assertThat(Prompt.parse(null, null).totalTokens(), is(0));
    assertThat(Prompt.parse("", "x,y").totalTokens(), is(0));
    assertThat(Prompt.parse("abc", "7").totalTokens(), is(7));
    assertThat(
        Prompt.parse("a:-5,b:99999999999", null).segmentTokens(), is(new int[] {0, 10_000_000}));
    assertThat(Prompt.parse(",,,", null).totalTokens(), is(0));
  }

  @Test
  void cacheEstimateKeepsTheMostRecentlyUsedSegments() {
    PrefixCacheEstimate cache = new PrefixCacheEstimate(1_000);
    Prompt a = Prompt.parse("1:400,a:100", null);
    Prompt b = Prompt.parse("1:400,b:100", null);
    cache.record(a);
    assertThat(cache.cachedTokens(a), is(500));
    assertThat(cache.cachedTokens(b), is(400));
    cache.record(b);
    Prompt c = Prompt.parse("2:450", null);
    cache.record(c);
    assertThat(cache.cachedTokens(a), is(400)); // its last segment was the least recently used
    assertThat(cache.cachedTokens(b), is(500));
    assertThat(cache.cachedTokens(c), is(450));
    cache.clear();
    assertThat(cache.cachedTokens(b), is(0));
  }

  @Test
  void cacheEstimateIsBounded() {
    PrefixCacheEstimate cache = new PrefixCacheEstimate(Long.MAX_VALUE);
    for (int i = 0; i < 10_000; i++) {
      cache.record(Prompt.parse("p" + i + ":1", null));
    }
    assertThat(cache.size(), is(4_096));
  }
}
