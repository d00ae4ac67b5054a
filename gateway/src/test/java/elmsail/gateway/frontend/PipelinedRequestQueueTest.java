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

/** The queue of a client's pipelined requests is bounded, and its buffers are released. */
class PipelinedRequestQueueTest {
  private final PipelinedRequestQueue queue = new PipelinedRequestQueue();
  private final List<ByteBuf> buffers = new ArrayList<>();

  private void add(int bytes, long at) {
    ByteBuf content = Unpooled.buffer(bytes).writeZero(bytes);
    buffers.add(content);
    queue.add(new DefaultHttpContent(content), at);
  }

  @Test
  void pollsEntriesInOrderWithTheirArrivalTimes() {
    add(1, 10);
    add(2, 20);
    assertThat(queue.poll().arrivedAt(), is(10L));
    assertThat(queue.poll().arrivedAt(), is(20L));
    assertThat(queue.poll(), is(nullValue()));
    assertThat(queue.isEmpty(), is(true));
  }

  @Test
  void isFullAtMaxEntries() {
    for (int i = 0; i < 63; i++) {
      add(0, i);
    }
    assertThat(queue.isFull(), is(false));
    add(0, 63);
    assertThat(queue.isFull(), is(true));
    queue.poll();
    assertThat(queue.isFull(), is(false));
  }

  @Test
  void isFullAtMaxBodyBytes() {
    add(40_000, 1);
    assertThat(queue.isFull(), is(false));
    add(30_000, 2);
    assertThat(queue.isFull(), is(true));
    queue.poll();
    assertThat(queue.isFull(), is(false));
  }

  @Test
  void releaseAllReleasesRemainingEntries() {
    add(5, 1);
    add(5, 2);
    queue.releaseAll();
    buffers.forEach(buffer -> assertThat(buffer.refCnt(), is(0)));
    assertThat(queue.isEmpty(), is(true));
  }
}
