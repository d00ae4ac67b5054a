package elmsail.batch.messages;

import elmsail.batch.TenantName;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.util.ArrayList;
import java.util.List;

/**
 * The binary encoding of a {@link JobRecord}, as stored by the job stores and sent between
 * processes. The layout is fixed because stores read records that earlier software versions wrote.
 * A new layout takes the next format number, and {@link #decode} must keep reading the earlier
 * formats.
 *
 * <p>Format 3: format number, version, route name, host, configuration version, completion target,
 * item time to live, name of the body blob, cancelled, runner, term, age; then the items, results
 * and failed attempts, each as a count followed by its entries; then the name of the tenant. Format
 * 2 ends after the failed attempts, format 1 after the results.
 *
 * <p>The record of a job without a tenant is written in format 2, which processes of the previous
 * software version read and write too. Such processes reject a record in format 3; otherwise they
 * would lose the tenant with the next change of the record.
 */
final class JobRecordCodec {
  private static final int FORMAT_WITHOUT_FAILED_ATTEMPTS = 1;
  private static final int FORMAT_WITHOUT_TENANT = 2;
  private static final int FORMAT = 3;

  private JobRecordCodec() {}

  /** Encodes the record in format 2, or in format 3 if the job has a tenant. */
  static byte[] encode(JobRecord record) {
    boolean hasTenant = !record.tenant().isNone();
    ByteWriter writer =
        new ByteWriter()
            .writeVarint(hasTenant ? FORMAT : FORMAT_WITHOUT_TENANT)
            .writeVarint(record.version());
    writeDescription(writer, record.description());
    writer
        .writeBoolean(record.cancelled())
        .writeString(record.runner())
        .writeVarint(record.term())
        .writeVarint(record.ageMs());
    writeItems(writer, record.items());
    writeResults(writer, record.results());
    writeFailedAttempts(writer, record.failedAttempts());
    if (hasTenant) {
      writer.writeString(record.tenant().value());
    }
    return writer.toByteArray();
  }

  /**
   * Decodes a record of any known format.
   *
   * @throws ElmsailException with {@link ErrorCode#MALFORMED} if the bytes are truncated or in an
   *     unknown format
   */
  static JobRecord decode(byte[] bytes) {
    ByteReader reader = new ByteReader(bytes);
    long format = reader.readVarint();
    if (format < FORMAT_WITHOUT_FAILED_ATTEMPTS || format > FORMAT) {
      throw new ElmsailException(
          ErrorCode.MALFORMED, "job record: expected format 1 to " + FORMAT + ", found " + format);
    }
    long version = reader.readVarint();
    DescriptionFields fields = readDescription(reader);
    boolean cancelled = reader.readBoolean();
    String runner = reader.readString();
    long term = reader.readVarint();
    long ageMs = reader.readVarint();
    List<JobRecord.Item> items = readItems(reader);
    List<JobRecord.Result> results = readResults(reader);
    List<JobRecord.FailedAttempts> failedAttempts =
        format == FORMAT_WITHOUT_FAILED_ATTEMPTS ? List.of() : readFailedAttempts(reader);
    TenantName tenant =
        format <= FORMAT_WITHOUT_TENANT ? TenantName.NONE : new TenantName(reader.readString());
    return new JobRecord(
        version,
        fields.toDescription(items, tenant),
        results,
        cancelled,
        runner,
        term,
        ageMs,
        failedAttempts);
  }

  /** The fields of the job description that the encoding places before the other fields. */
  private record DescriptionFields(
      String routeName,
      String host,
      long configVersion,
      long completionTargetMs,
      long itemTtlMs,
      String bodyBlobName) {
    JobDescription toDescription(List<JobRecord.Item> items, TenantName tenant) {
      return new JobDescription(
          routeName,
          host,
          configVersion,
          completionTargetMs,
          itemTtlMs,
          bodyBlobName,
          items,
          tenant);
    }
  }

  private static void writeDescription(ByteWriter writer, JobDescription description) {
    writer
        .writeString(description.routeName())
        .writeString(description.host())
        .writeVarint(description.configVersion())
        .writeVarint(description.completionTargetMs())
        .writeVarint(description.itemTtlMs())
        .writeString(description.bodyBlobName());
  }

  private static DescriptionFields readDescription(ByteReader reader) {
    return new DescriptionFields(
        reader.readString(),
        reader.readString(),
        reader.readVarint(),
        reader.readVarint(),
        reader.readVarint(),
        reader.readString());
  }

  private static void writeItems(ByteWriter writer, List<JobRecord.Item> items) {
    writer.writeVarint(items.size());
    for (JobRecord.Item item : items) {
      writer.writeString(item.id()).writeVarint(item.tokens());
    }
  }

  private static List<JobRecord.Item> readItems(ByteReader reader) {
    int count = reader.readCount();
    List<JobRecord.Item> items = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      items.add(new JobRecord.Item(reader.readString(), reader.readVarint()));
    }
    return List.copyOf(items);
  }

  private static void writeResults(ByteWriter writer, List<JobRecord.Result> results) {
    writer.writeVarint(results.size());
    for (JobRecord.Result result : results) {
      writer
          .writeVarint(result.itemIndex())
          .writeBoolean(result.succeeded())
          .writeVarint(result.term())
          .writeVarint(result.textBytes());
    }
  }

  private static List<JobRecord.Result> readResults(ByteReader reader) {
    int count = reader.readCount();
    List<JobRecord.Result> results = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      results.add(
          new JobRecord.Result(
              (int) reader.readVarint(),
              reader.readBoolean(),
              reader.readVarint(),
              (int) reader.readVarint()));
    }
    return List.copyOf(results);
  }

  private static void writeFailedAttempts(
      ByteWriter writer, List<JobRecord.FailedAttempts> failedAttempts) {
    writer.writeVarint(failedAttempts.size());
    for (JobRecord.FailedAttempts attempts : failedAttempts) {
      writer.writeVarint(attempts.itemIndex()).writeVarint(attempts.count());
    }
  }

  private static List<JobRecord.FailedAttempts> readFailedAttempts(ByteReader reader) {
    int count = reader.readCount();
    List<JobRecord.FailedAttempts> failedAttempts = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      failedAttempts.add(
          new JobRecord.FailedAttempts((int) reader.readVarint(), (int) reader.readVarint()));
    }
    return List.copyOf(failedAttempts);
  }
}
