package elmsail.register;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import elmsail.inner.words.Seat;
import elmsail.inner.words.Seating;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

class SeatingBytesTest {
  private static Seating seating() {
    Seat seat = new Seat();
    seat.address = "10.0.0.1:7";
    seat.station = "s";
    seat.life = 5;
    seat.incarnation = 3;
    seat.beforeAddress = "10.0.0.2:7";
    seat.beforeLife = -4;
    seat.beforeIncarnation = 2;
    Seating seating = new Seating();
    seating.seats.add(seat);
    return seating;
  }

  @Test
  void theOneBeforeIsKept() {
    Seating read = SeatingBytes.seating(SeatingBytes.of(seating()));
    assertThat(SeatingRules.same(read, seating()), is(true));
    assertThat(read.seats.get(0).beforeAddress, is("10.0.0.2:7"));
    assertThat(read.seats.get(0).beforeLife, is(-4L));
    assertThat(read.seats.get(0).beforeIncarnation, is(2));
  }

  @Test
  void aRecordWithoutItIsReadToo() {
    byte[] bytes = SeatingBytes.of(seating());
    int before = 2 + "10.0.0.2:7".length() + Long.BYTES + Integer.BYTES;
    Seating read = SeatingBytes.seating(Arrays.copyOf(bytes, bytes.length - before));
    assertThat(SeatingRules.same(read, seating()), is(true));
    assertThat(read.seats.get(0).beforeLife, is(0L));
  }
}
