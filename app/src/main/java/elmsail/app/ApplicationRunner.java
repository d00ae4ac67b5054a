package elmsail.app;

import elmsail.runtime.AddressUnavailableException;
import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.ProcessSignals;
import elmsail.runtime.Settings;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs an application on its event loop, from its start to the end of its graceful shutdown. */
final class ApplicationRunner {
  private static final long LOOP_SHUTDOWN_MS = 1_000;

  private ApplicationRunner() {}

  /** Called once on the loop after the application has started. */
  @FunctionalInterface
  interface StartListener {
    /** {@code shutDown} has the effect of SIGTERM; to be called on the loop. */
    void onStarted(Runnable shutDown, NettyEventLoop loop);
  }

  /**
   * Starts the application and blocks until it has shut down.
   *
   * @param file the settings file, which is watched for changes
   */
  static ExitCode run(
      Application application, Path file, Settings settings, StartListener listener) {
    Logger log = LoggerFactory.getLogger("elmsail." + application.name());
    NettyEventLoop loop = new NettyEventLoop();
    CompletableFuture<Void> stopped = new CompletableFuture<>();
    loop.execute(
        () -> {
          try {
            // The signals first: SIGHUP would end the process until a handler is set.
            SignalTarget target = new SignalTarget(stopped);
            new ProcessSignals(loop, file, settings, target::shutDown, target::onSettingsChanged)
                .start();
            target.instance = application.start(settings, loop);
            log.info(
                "started, {} ms after its main began",
                (System.nanoTime() - ApplicationLauncher.STARTED_AT_NANOS) / 1_000_000);
            listener.onStarted(target::shutDown, loop);
          } catch (RuntimeException e) {
            // The loop's edge: whatever keeps the application from starting ends the process.
            stopped.completeExceptionally(e);
          }
        });
    try {
      stopped.join();
      log.info("ended");
      return ExitCode.OK;
    } catch (CompletionException e) {
      logStartFailure(log, settings, e.getCause());
      return ExitCode.ofStartFailure(e);
    } finally {
      loop.shutdown().awaitUninterruptibly(LOOP_SHUTDOWN_MS);
    }
  }

  /**
   * Logs a failure that comes after {@code start} returned, such as an address in use, and exits
   * the process. May be called from any thread; always returns null, for use in futures.
   */
  static Void exitAfterFailure(Settings settings, Throwable failure) {
    logStartFailure(LoggerFactory.getLogger(ApplicationRunner.class), settings, failure);
    int code = ExitCode.ofStartFailure(failure).code();
    new Thread(() -> System.exit(code), "exit").start();
    return null;
  }

  /** One line says all that an operator needs about an address that cannot be bound. */
  private static void logStartFailure(Logger log, Settings settings, Throwable failure) {
    Optional<AddressUnavailableException> taken = AddressUnavailableException.findIn(failure);
    if (taken.isPresent()) {
      String address = taken.get().address();
      log.error(
          "role {}: {}; end the process that holds the address, or change {}",
          settings.role(),
          taken.get().detail(),
          settings.settingOf(address));
    } else {
      log.error("could not start", failure);
    }
  }

  /** Forwards signals to the instance. They come on the loop, so after the application's start. */
  private static final class SignalTarget {
    private final CompletableFuture<Void> stopped;
    private Application.Instance instance;

    SignalTarget(CompletableFuture<Void> stopped) {
      this.stopped = stopped;
    }

    void shutDown() {
      instance.shutDown(() -> stopped.complete(null));
    }

    void onSettingsChanged(Settings settings) {
      instance.onSettingsChanged(settings);
    }
  }
}
