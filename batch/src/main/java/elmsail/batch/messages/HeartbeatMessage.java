package elmsail.batch.messages;

import java.util.ArrayList;
import java.util.List;

/**
 * What a gateway says to a store of the jobs it runs, twice a second, and what is answered for
 * each.
 */
public record HeartbeatMessage(String gateway, List<JobLease> leases) {
  /** The store holds the job as open and run by this gateway in this term. */
  public static final int LEASE_HELD = 1;

  /** The job is ended, or another gateway runs it. */
  public static final int LEASE_LOST = 2;

  /** This store does not know it, or only older terms: it decides nothing. */
  public static final int UNKNOWN = 0;

  /** One job that the gateway runs. */
  public record JobLease(String jobId, long term) {}

  /** The bytes that {@link #decode} reads. */
  public byte[] encode() {
    ByteWriter writer = new ByteWriter().writeString(gateway).writeVarint(leases.size());
    for (JobLease lease : leases) {
      writer.writeString(lease.jobId()).writeVarint(lease.term());
    }
    return writer.toByteArray();
  }

  /** Fails with GARBLED where the bytes are not those of {@link #encode}. */
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
