package elmsail.batch.messages;

import java.util.ArrayList;
import java.util.List;

/**
 * An open job of which a store has had no heartbeat.
 *
 * @param sinceHeartbeatMs for how long, and since this store's start at most
 */
public record AbandonedJob(String jobId, long term, long sinceHeartbeatMs) {

  /** The bytes that {@link #decode} reads. */
  public static byte[] encode(List<AbandonedJob> abandoned) {
    ByteWriter writer = new ByteWriter().writeVarint(abandoned.size());
    for (AbandonedJob job : abandoned) {
      writer.writeString(job.jobId()).writeVarint(job.term()).writeVarint(job.sinceHeartbeatMs());
    }
    return writer.toByteArray();
  }

  /** Fails with GARBLED where the bytes are not those of {@link #encode}. */
  public static List<AbandonedJob> decode(byte[] bytes) {
    ByteReader reader = new ByteReader(bytes);
    int count = reader.readCount();
    List<AbandonedJob> abandoned = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      abandoned.add(
          new AbandonedJob(reader.readString(), reader.readVarint(), reader.readVarint()));
    }
    return abandoned;
  }
}
