package willowdoor.front.loop;

import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadFactory;

/** The front door's one event loop, which notes when it looks at its sockets. */
public final class LoopGroup extends MultiThreadIoEventLoopGroup {

  public LoopGroup(IoHandlerFactory ioHandler, Clock clock, Looks looks) {
    super(1, (ThreadFactory) null, ioHandler, clock, looks);
  }

  @Override
  protected IoEventLoop newChild(Executor executor, IoHandlerFactory ioHandler, Object... args) {
    Clock clock = (Clock) args[0];
    Looks looks = (Looks) args[1];
    return new SingleThreadIoEventLoop(this, executor, ioHandler) {
      @Override
      protected int runIo() {
        looks.begins(clock.now());
        int found = super.runIo();
        if (found == 0) {
          looks.foundNothing(clock.now());
        }
        return found;
      }
    };
  }
}
