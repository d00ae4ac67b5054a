package elmsail.config.watch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

class RendezvousHashTest {

  @Property(tries = 300)
  void choiceDoesNotDependOnTheOrderOfCandidates(
      @ForAll String key,
      @ForAll @Size(max = 12) List<@StringLength(max = 8) String> candidates,
      @ForAll @IntRange(max = 5) int count,
      @ForAll long seed) {
    List<String> chosen = RendezvousHash.choose(key, candidates, count);
    Set<String> distinct = new HashSet<>(candidates);
    assertThat(chosen, hasSize(Math.min(count, distinct.size())));
    assertThat(new HashSet<>(chosen), hasSize(chosen.size()));
    assertThat(distinct.containsAll(chosen), equalTo(true));
    List<String> shuffled = new ArrayList<>(candidates);
    Collections.shuffle(shuffled, new Random(seed));
    assertThat(RendezvousHash.choose(key, shuffled, count), equalTo(chosen));
  }

  @Property(tries = 300)
  void removalOfACandidateKeepsAllOtherChoices(
      @ForAll String key,
      @ForAll @Size(min = 1, max = 12) Set<@StringLength(max = 8) String> candidates,
      @ForAll @IntRange(min = 1, max = 4) int count,
      @ForAll @IntRange(max = 11) int removedIndex) {
    List<String> before = new ArrayList<>(candidates);
    String removed = before.get(removedIndex % before.size());
    List<String> after = new ArrayList<>(before);
    after.remove(removed);
    List<String> chosen = new ArrayList<>(RendezvousHash.choose(key, before, count));
    List<String> chosenAfter = RendezvousHash.choose(key, after, count);
    chosen.remove(removed);
    assertThat(chosenAfter.subList(0, chosen.size()), equalTo(chosen));
  }

  @Test
  void spreadsKeysEvenly() {
    List<String> candidates = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      candidates.add("10." + (i + 1) + ".0.13:7721");
    }
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < 3_000; i++) {
      for (String chosen : RendezvousHash.choose("counter-bayanzurkh-hall-" + i, candidates, 3)) {
        counts.merge(chosen, 1, Integer::sum);
      }
    }
    for (String candidate : candidates) {
      assertThat(counts.get(candidate), allOf(greaterThan(1_650), lessThan(1_950)));
    }
  }
}
