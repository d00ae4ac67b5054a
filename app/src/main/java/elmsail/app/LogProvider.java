package elmsail.app;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * An SLF4J provider that configures Logback in code, without a search for configurators, files and
 * versions, which would slow the start.
 */
public final class LogProvider implements SLF4JServiceProvider {

  private final LoggerContext context = new LoggerContext();
  private final IMarkerFactory markers = new BasicMarkerFactory();
  private final LogbackMDCAdapter diagnostics = new LogbackMDCAdapter();

  /** Makes SLF4J use this provider; to be called before the first logger is created. */
  static void choose() {
    System.setProperty("slf4j.internal.verbosity", "WARN");
    System.setProperty("slf4j.provider", "elmsail.app.LogProvider");
  }

  @Override
  public void initialize() {
    context.setMDCAdapter(diagnostics);
    context.start();
    new LogSetup().configure(context);
  }

  @Override
  public ILoggerFactory getLoggerFactory() {
    return context;
  }

  @Override
  public IMarkerFactory getMarkerFactory() {
    return markers;
  }

  @Override
  public MDCAdapter getMDCAdapter() {
    return diagnostics;
  }

  @Override
  public String getRequestedApiVersion() {
    return "2.0.99";
  }
}
