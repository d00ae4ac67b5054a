package willowdoor.purge;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import willowdoor.purge.Message.Accept;
import willowdoor.purge.Message.Accepted;
import willowdoor.purge.Message.Applied;
import willowdoor.purge.Message.Apply;
import willowdoor.purge.Message.Done;
import willowdoor.purge.Message.DoneAck;
import willowdoor.purge.Message.Grant;
import willowdoor.purge.Message.OutstandingLease;
import willowdoor.purge.Message.Purge;
import willowdoor.purge.Message.PurgeRequest;
import willowdoor.purge.Message.Refused;
import willowdoor.purge.Message.Renew;
import willowdoor.purge.Message.Result;
import willowdoor.purge.Message.StatusQuery;
import willowdoor.purge.Message.StatusReply;

/**
 * Encodes messages as CBOR datagrams (RFC 8949): one array of the protocol version, the digest of
 * the fleet's configuration, the message kind and its fields in order, without field names.
 * Decoding is strict: a value of another type, a value out of its range or bytes after the end of
 * the array make the datagram unreadable.
 */
final class Codec {
  /** The largest datagram; networks do not fragment datagrams of this size. */
  static final int MAX_DATAGRAM_BYTES = 1_400;

  private static final int VERSION = 1;

  enum Fault {
    UNREADABLE,
    OTHER_VERSION,
    OTHER_CONFIGURATION
  }

  /** Thrown for a datagram that is dropped, with the reason. */
  static final class DroppedDatagramException extends Exception {
    private static final long serialVersionUID = 1;
    final Fault fault;

    DroppedDatagramException(Fault fault) {
      super(fault.name(), null, false, false);
      this.fault = fault;
    }
  }

  private final CBORFactory factory = new CBORFactory();
  private final long digest;

  /**
   * The digest covers the fleet's name, acceptors and timing, which must be the same at every
   * gateway: gateways with different digests drop each other's datagrams. The digest includes the
   * text of {@link Timing}, so the names of that record and its components must not change.
   */
  Codec(String name, Fleet fleet) {
    digest =
        ByteBuffer.wrap(PurgeId.sha256(name + ' ' + fleet.acceptors() + ' ' + fleet.timing()))
            .getLong();
  }

  byte[] encode(Message message) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
    try (CBORGenerator out = factory.createGenerator(bytes)) {
      out.writeStartArray();
      out.writeNumber(VERSION);
      out.writeNumber(digest);
      writeFields(message, out);
      out.writeEndArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  Message decode(byte[] datagram) throws DroppedDatagramException {
    if (datagram.length > MAX_DATAGRAM_BYTES) {
      throw new DroppedDatagramException(Fault.UNREADABLE);
    }
    try (CBORParser parser = factory.createParser(datagram)) {
      MessageReader in = new MessageReader(parser);
      in.openArray();
      if (in.number(0, Integer.MAX_VALUE) != VERSION) {
        throw new DroppedDatagramException(Fault.OTHER_VERSION);
      }
      if (in.number(Long.MIN_VALUE, Long.MAX_VALUE) != digest) {
        throw new DroppedDatagramException(Fault.OTHER_CONFIGURATION);
      }
      Message message = in.message();
      in.expectEnd();
      return message;
    } catch (IOException | IllegalArgumentException e) {
      throw new DroppedDatagramException(Fault.UNREADABLE);
    }
  }

  private static void writeFields(Message message, CBORGenerator out) throws IOException {
    if (message instanceof Renew renew) {
      writeNumbers(out, 1, renew.boot(), renew.number(), renew.lastGrantNumber());
      out.writeStartArray();
      for (long run : renew.applied()) {
        out.writeNumber(run);
      }
      out.writeEndArray();
    } else if (message instanceof Grant grant) {
      writeNumbers(out, 2, grant.boot(), grant.number(), grant.moreRuns() ? 1 : 0);
      out.writeStartArray();
      for (Purge purge : grant.purges()) {
        writePurge(out, purge);
      }
      out.writeEndArray();
    } else if (message instanceof Accept accept) {
      writeNumbers(out, 3, accept.number());
      writePurge(out, accept.purge());
      writeRequests(out, accept.requests());
    } else if (message instanceof Accepted accepted) {
      writeNumbers(
          out, 4, accepted.run(), accepted.number(), accepted.acceptance(), accepted.page());
      out.writeStartArray();
      for (OutstandingLease lease : accepted.outstanding()) {
        int offset = lease.holder().member() - accepted.page() * Fleet.MEMBERS_PER_PAGE;
        writeNumbers(out, offset, lease.holder().boot(), lease.remainingMs());
      }
      out.writeEndArray();
    } else if (message instanceof Refused refused) {
      writeNumbers(out, 5, refused.run(), refused.reason().ordinal());
      if (refused.id() != null) {
        writeNumbers(out, refused.id().high(), refused.id().low());
      }
    } else if (message instanceof Apply apply) {
      writeNumbers(out, 6);
      writePurge(out, apply.purge());
    } else if (message instanceof Applied applied) {
      writeNumbers(out, 7, applied.run(), applied.boot());
    } else if (message instanceof Done done) {
      writeNumbers(out, 8);
      writePurge(out, done.purge());
      writeRequests(out, done.requests());
      writeResult(out, done.result());
    } else if (message instanceof DoneAck ack) {
      writeNumbers(out, 9, ack.run());
    } else if (message instanceof StatusQuery query) {
      writeNumbers(out, 10, query.number(), query.id().high(), query.id().low());
    } else if (message instanceof StatusReply reply) {
      writeNumbers(
          out, 11, reply.number(), reply.id().high(), reply.id().low(), reply.state().ordinal());
      if (reply.scope() != null) {
        writeScope(out, reply.scope());
        writeNumbers(out, reply.prefixHash());
      }
      if (reply.result() != null) {
        writeResult(out, reply.result());
      }
    }
  }

  private static void writeNumbers(CBORGenerator out, long... numbers) throws IOException {
    for (long number : numbers) {
      out.writeNumber(number);
    }
  }

  private static void writePurge(CBORGenerator out, Purge purge) throws IOException {
    writeNumbers(out, purge.run(), purge.coordinator());
    writeScope(out, purge.scope());
  }

  private static void writeScope(CBORGenerator out, Scope scope) throws IOException {
    out.writeString(scope.customer());
    out.writeString(scope.prefix());
  }

  private static void writeRequests(CBORGenerator out, Iterable<PurgeRequest> requests)
      throws IOException {
    out.writeStartArray();
    for (PurgeRequest request : requests) {
      writeNumbers(out, request.id().high(), request.id().low(), request.prefixHash());
    }
    out.writeEndArray();
  }

  private static void writeResult(CBORGenerator out, Result result) throws IOException {
    writeNumbers(out, result.confirmed());
    out.writeStartArray();
    for (int member : result.ranOut()) {
      out.writeNumber(member);
    }
    out.writeEndArray();
  }
}
