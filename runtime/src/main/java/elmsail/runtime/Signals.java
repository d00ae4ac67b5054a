package elmsail.runtime;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;

/**
 * Handlers of operating-system signals. The runtime's only interface to them is internal, and the
 * compiler warns wherever it is named, so it is looked up by reflection.
 */
final class Signals {

  private Signals() {}

  /**
   * Runs the action at each such signal from now on, on a thread of the runtime.
   *
   * @param name without "SIG"
   * @throws ElmsailException {@code INTERNAL} if this runtime does not support the signal
   */
  static void handle(String name, Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Method handled = handler.getMethod("handle", signal);
      Object run =
          Proxy.newProxyInstance(
              Signals.class.getClassLoader(),
              new Class<?>[] {handler},
              new SignalInvocationHandler(handled, action));
      signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance(name), run);
    } catch (ReflectiveOperationException e) {
      throw new ElmsailException(ErrorCode.INTERNAL, "this runtime does not report SIG" + name, e);
    }
  }

  private record SignalInvocationHandler(Method handled, Runnable action)
      implements InvocationHandler {
    @Override
    public Object invoke(Object proxy, Method method, Object[] args)
        throws ReflectiveOperationException {
      if (method.equals(handled)) {
        action.run();
        return null;
      }
      return method.invoke(this, args);
    }
  }
}
