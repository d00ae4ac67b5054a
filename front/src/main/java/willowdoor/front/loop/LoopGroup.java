package willowdoor.front.loop;

import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadFactory;

/** The gateway's single event loop, which records when it polls its sockets. */
public final class LoopGroup extends MultiThreadIoEventLoopGroup {

  public LoopGroup(IoHandlerFactory ioHandler, Clock clock, PollTimes pollTimes) {
    super(1, (ThreadFactory) null, ioHandler, clock, pollTimes);
  }

  @Override
  protected IoEventLoop newChild(Executor executor, IoHandlerFactory ioHandler, Object... args) {
    Clock clock = (Clock) args[0];
    PollTimes looks = (PollTimes) args[1];
    return new SingleThreadIoEventLoop(this, executor, ioHandler) {
      @Override
      protected int runIo() {
        looks.onPollStart(clock.now());
        int found = super.runIo();
        if (found == 0) {
          looks.onEmptyPoll(clock.now());
        }
        return found;
      }
    };
  }
}
