package elmsail.batch.run;

import elmsail.batch.ItemServers;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * The way of one item to its result at this gateway: the text of the events received so far, and
 * the run in flight if there is one. A run is resumed after the last event. Confined to the
 * gateway's event loop.
 */
final class ItemRun {
  private static final int MAX_TEXT_BYTES = 4 << 20;
  private static final int TEXT_HEADROOM_BYTES = 32;
  private static final long NO_EVENT = -1;

  /** The index of the item in the job. */
  final int itemIndex;

  /** Responses of 500, including those that former runners recorded. */
  int failedAttempts;

  /** How many of them are in the record of the job. */
  int recordedFailedAttempts;

  /** Consecutive runs without an event, for the backoff. */
  int runsWithoutEvents;

  /** Whether the item has a result. */
  boolean done;

  private long lastEventId = NO_EVENT;
  private ByteArrayOutputStream text;

  private ItemServers.RunHandle handle;

  /** Raised by each start and each cancellation, so that a listener of an earlier run is stale. */
  private int runNumber;

  private boolean inFlight;
  private long sentAt;
  private boolean eventReceived;

  ItemRun(int itemIndex) {
    this.itemIndex = itemIndex;
  }

  /**
   * Starts a run.
   *
   * @return its number, by which the other methods tell whether it is still the current one
   */
  int begin(long now) {
    runNumber++;
    inFlight = true;
    eventReceived = false;
    sentAt = now;
    return runNumber;
  }

  /**
   * Whether the run of this number has been neither ended, nor cancelled, nor followed by another.
   */
  boolean isCurrent(int run) {
    return runNumber == run;
  }

  /** The run could not be sent. */
  void abortStart(int run) {
    if (isCurrent(run)) {
      runNumber++;
      inFlight = false;
    }
  }

  /** The run was sent; cancels it at once if it is no longer the current one. */
  void onSent(int run, ItemServers.RunHandle sentHandle) {
    if (isCurrent(run) && inFlight) {
      handle = sentHandle;
    } else if (runNumber > run) {
      sentHandle.cancel();
    }
  }

  /** The run has ended by itself. */
  void end() {
    handle = null;
    cancel();
  }

  /** Cancels the run in flight; its listener is stale from now on. */
  void cancel() {
    runNumber++;
    inFlight = false;
    if (handle != null) {
      handle.cancel();
      handle = null;
    }
  }

  /** Whether a run has been started that has neither ended nor been cancelled. */
  boolean isInFlight() {
    return inFlight;
  }

  /** Whether the current run, or the last one, has received an event. */
  boolean hasReceivedEvent() {
    return eventReceived;
  }

  /** When the current run, or the last one, was sent, in ms of the steady clock. */
  long sentAt() {
    return sentAt;
  }

  /** The last event received, after which a run resumes; -1 if there is none. */
  long lastEventId() {
    return lastEventId;
  }

  /**
   * Appends the data of an event to the text.
   *
   * @return false if the event is not the next one or the text gets too long; the run is to be
   *     cancelled then
   */
  boolean appendEvent(long id, byte[] data) {
    if (id < 0
        || lastEventId >= 0 && id != lastEventId + 1
        || textBytes() + data.length >= MAX_TEXT_BYTES) {
      return false;
    }
    if (text == null) {
      text = new ByteArrayOutputStream(data.length + TEXT_HEADROOM_BYTES);
    } else {
      text.write('\n');
    }
    text.write(data, 0, data.length);
    lastEventId = id;
    eventReceived = true;
    return true;
  }

  /** Whether any event has been received since the text was last discarded. */
  boolean hasText() {
    return text != null;
  }

  /** The length of the text as received, in bytes. */
  int textBytes() {
    return text == null ? 0 : text.size();
  }

  /** The text as valid UTF-8: malformed sequences are replaced. */
  byte[] text() {
    byte[] bytes = text == null ? new byte[0] : text.toByteArray();
    return new String(bytes, StandardCharsets.UTF_8).getBytes(StandardCharsets.UTF_8);
  }

  /** Discards the text, so that the next run begins anew. */
  void discardText() {
    text = null;
    lastEventId = NO_EVENT;
  }
}
