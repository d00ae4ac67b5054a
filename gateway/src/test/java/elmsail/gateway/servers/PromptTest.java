package elmsail.gateway.servers;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import org.junit.jupiter.api.Test;

class PromptTest {

  @Test
  void partsAndTokensAreRead() {
    Prompt p = Prompt.read("5c1e07a2:800,91bd3f06:410, e4402b7d:250", "1460,80");
    assertThat(p.tokens(), is(new int[] {800, 410, 250}));
    assertThat(p.total(), is(1_460));
    assertThat(p.sharedTokens(), is(1_210));
  }

  @Test
  void aPartIsTheSameOnlyBehindTheSameParts() {
    Prompt a = Prompt.read("1:10,2:10,3:10", null);
    Prompt b = Prompt.read("1:10,4:10,3:10", null);
    Prompt c = Prompt.read("12:10,3:10", null);
    assertThat(a.keys()[0], is(b.keys()[0]));
    assertThat(a.keys()[2], is(not(b.keys()[2])));
    assertThat(a.keys()[1], is(not(c.keys()[0])));
  }

  @Test
  void whatCannotBeReadIsNothing() {
    assertThat(Prompt.read(null, null).total(), is(0));
    assertThat(Prompt.read("", "x,y").total(), is(0));
    assertThat(Prompt.read("abc", "7").total(), is(7));
    assertThat(Prompt.read("a:-5,b:99999999999", null).tokens(), is(new int[] {0, 10_000_000}));
    assertThat(Prompt.read(",,,", null).total(), is(0));
  }

  @Test
  void theMemoryKeepsWhatWasUsedLast() {
    PrefixMemory memory = new PrefixMemory(1_000);
    Prompt a = Prompt.read("1:400,a:100", null);
    Prompt b = Prompt.read("1:400,b:100", null);
    memory.add(a);
    assertThat(memory.known(a), is(500));
    assertThat(memory.known(b), is(400));
    memory.add(b);
    Prompt c = Prompt.read("2:450", null);
    memory.add(c);
    assertThat(memory.known(a), is(400)); // its own part was unused for longest
    assertThat(memory.known(b), is(500));
    assertThat(memory.known(c), is(450));
    memory.clear();
    assertThat(memory.known(b), is(0));
  }

  @Test
  void theMemoryIsBounded() {
    PrefixMemory memory = new PrefixMemory(Long.MAX_VALUE);
    for (int i = 0; i < 10_000; i++) {
      memory.add(Prompt.read("p" + i + ":1", null));
    }
    assertThat(memory.size(), is(4_096));
  }
}
