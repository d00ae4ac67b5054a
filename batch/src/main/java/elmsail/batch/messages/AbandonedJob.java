package elmsail.batch.messages;

import java.util.ArrayList;
import java.util.List;

/**
 * An open job whose runner has sent a store no heartbeat for some time.
 *
 * @param term the term of the newest runner that the store knows
 * @param sinceHeartbeatMs the time since the last heartbeat, or since the store last accepted or
 *     loaded a record of the job if that is more recent, in ms
 */
public record AbandonedJob(String jobId, long term, long sinceHeartbeatMs) {

  /** Encodes these jobs for {@link #decode}. */
  public static byte[] encode(List<AbandonedJob> abandoned) {
    ByteWriter writer = new ByteWriter().writeVarint(abandoned.size());
    for (AbandonedJob job : abandoned) {
      writer.writeString(job.jobId()).writeVarint(job.term()).writeVarint(job.sinceHeartbeatMs());
    }
    return writer.toByteArray();
  }

  /**
   * Decodes the jobs from these bytes.
   *
   * @throws elmsail.runtime.ElmsailException with {@code MALFORMED} if {@link #encode} did not
   *     write them
   */
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
