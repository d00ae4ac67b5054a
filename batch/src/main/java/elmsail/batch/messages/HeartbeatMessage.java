package elmsail.batch.messages;

import java.util.ArrayList;
import java.util.List;

/**
 * The heartbeat that a gateway sends to each store for the jobs that the gateway runs. A store
 * responds with one of the status constants below for each job, in the order of the message.
 *
 * @param gateway the RPC address of the sender
 */
public record HeartbeatMessage(String gateway, List<JobLease> leases) {
  /**
   * The store does not know the job, or knows only earlier terms of the job. The status does not
   * tell whether the gateway holds the lease.
   */
  public static final int UNKNOWN = 0;

  /** The job is open, and the gateway runs it in this term. */
  public static final int LEASE_HELD = 1;

  /** The job is complete or cancelled, or another gateway runs it. */
  public static final int LEASE_LOST = 2;

  /** A job that the gateway runs, and the term of the gateway as the job's runner. */
  public record JobLease(String jobId, long term) {}

  /** Encodes this heartbeat for {@link #decode}. */
  public byte[] encode() {
    ByteWriter writer = new ByteWriter().writeString(gateway).writeVarint(leases.size());
    for (JobLease lease : leases) {
      writer.writeString(lease.jobId()).writeVarint(lease.term());
    }
    return writer.toByteArray();
  }

  /**
   * Decodes a heartbeat from these bytes.
   *
   * @throws elmsail.runtime.ElmsailException with {@code MALFORMED} if {@link #encode} did not
   *     write them
   */
  public static HeartbeatMessage decode(byte[] bytes) {
    ByteReader reader = new ByteReader(bytes);
    String gateway = reader.readString();
    int count = reader.readCount();
    List<JobLease> leases = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      leases.add(new JobLease(reader.readString(), reader.readVarint()));
    }
    return new HeartbeatMessage(gateway, leases);
  }
}
