package willowdoor.front;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;

/**
 * Hears SIGHUP, which would end the process otherwise. The only interface to signals is one that the
 * compiler warns of wherever it is named, so it is looked up by name.
 */
final class HangUp {

  private HangUp() {
  }

  /** Runs the action, on a thread of the runtime's, at each SIGHUP from now on. */
  static void handle(Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Method handled = handler.getMethod("handle", signal);
      Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
      Object run = Proxy.newProxyInstance(HangUp.class.getClassLoader(), new Class<?>[] {handler},
          (proxy, method, args) -> {
            if (method.equals(handled)) {
              action.run();
              return null;
            }
            return method.invoke(action, args);
          });
      signal.getMethod("handle", signal, handler).invoke(null, hangUp, run);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("this Java runtime does not tell of SIGHUP", e);
    }
  }
}
