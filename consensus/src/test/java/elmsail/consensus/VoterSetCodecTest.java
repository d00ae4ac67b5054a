package elmsail.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

class VoterSetCodecTest {
  private static VoterSet voterSet() {
    Voter voter = new Voter();
    voter.address = "10.0.0.1:7";
    voter.machine = "s";
    voter.instanceId = 5;
    voter.epoch = 3;
    voter.previousAddress = "10.0.0.2:7";
    voter.previousInstanceId = -4;
    voter.previousEpoch = 2;
    VoterSet voterSet = new VoterSet();
    voterSet.voters.add(voter);
    return voterSet;
  }

  @Test
  void previousVoterIsDecoded() {
    VoterSet read = VoterSetCodec.decode(VoterSetCodec.encode(voterSet()));
    assertThat(VoterSets.areEqual(read, voterSet()), is(true));
    assertThat(read.voters.get(0).previousAddress, is("10.0.0.2:7"));
    assertThat(read.voters.get(0).previousInstanceId, is(-4L));
    assertThat(read.voters.get(0).previousEpoch, is(2));
  }

  @Test
  void recordWithoutPreviousVoterIsDecoded() {
    byte[] bytes = VoterSetCodec.encode(voterSet());
    int previousVoterBytes = 2 + "10.0.0.2:7".length() + Long.BYTES + Integer.BYTES;
    VoterSet read = VoterSetCodec.decode(Arrays.copyOf(bytes, bytes.length - previousVoterBytes));
    assertThat(VoterSets.areEqual(read, voterSet()), is(true));
    assertThat(read.voters.get(0).previousInstanceId, is(0L));
  }
}
