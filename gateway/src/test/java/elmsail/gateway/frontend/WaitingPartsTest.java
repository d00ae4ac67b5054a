package elmsail.gateway.frontend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What is read ahead of a client is bounded, and freed with it. */
class WaitingPartsTest {
  private final WaitingParts parts = new WaitingParts();
  private final List<ByteBuf> given = new ArrayList<>();

  private void add(int bytes, long at) {
    ByteBuf content = Unpooled.buffer(bytes).writeZero(bytes);
    given.add(content);
    parts.add(new DefaultHttpContent(content), at);
  }

  @Test
  void partsComeInTheirOrderWithTheirTimes() {
    add(1, 10);
    add(2, 20);
    assertThat(parts.poll().arrivedMs(), is(10L));
    assertThat(parts.poll().arrivedMs(), is(20L));
    assertThat(parts.poll(), is(nullValue()));
    assertThat(parts.isEmpty(), is(true));
  }

  @Test
  void itIsFullWithSoManyParts() {
    for (int i = 0; i < 63; i++) {
      add(0, i);
    }
    assertThat(parts.full(), is(false));
    add(0, 63);
    assertThat(parts.full(), is(true));
    parts.poll();
    assertThat(parts.full(), is(false));
  }

  @Test
  void itIsFullWithSoManyBytes() {
    add(40_000, 1);
    assertThat(parts.full(), is(false));
    add(30_000, 2);
    assertThat(parts.full(), is(true));
    parts.poll();
    assertThat(parts.full(), is(false));
  }

  @Test
  void whatIsLeftIsFreed() {
    add(5, 1);
    add(5, 2);
    parts.release();
    given.forEach(one -> assertThat(one.refCnt(), is(0)));
    assertThat(parts.isEmpty(), is(true));
  }
}
