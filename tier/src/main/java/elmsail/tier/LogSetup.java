package elmsail.tier;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Sets the log up in code, as reading a file for it would cost more than the rest of the start: plain lines to
 * standard output, nothing scanned, no place in the code told. Found by Logback as a service.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    PatternLayoutEncoder lines = new PatternLayoutEncoder();
    lines.setContext(context);
    lines.setPattern("%relative %-5level %logger{0} %msg%n%rEx{8}");
    lines.start();
    ConsoleAppender<ILoggingEvent> out = new ConsoleAppender<>();
    out.setContext(context);
    out.setEncoder(lines);
    out.start();
    context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME).setLevel(Level.INFO);
    context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME).addAppender(out);
    context.getLogger("io.netty").setLevel(Level.WARN);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }
}
