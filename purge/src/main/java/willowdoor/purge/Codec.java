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
import willowdoor.purge.Message.Ask;
import willowdoor.purge.Message.Claim;
import willowdoor.purge.Message.Done;
import willowdoor.purge.Message.Grant;
import willowdoor.purge.Message.Noted;
import willowdoor.purge.Message.Outstanding;
import willowdoor.purge.Message.Purge;
import willowdoor.purge.Message.Refused;
import willowdoor.purge.Message.Renew;
import willowdoor.purge.Message.Result;
import willowdoor.purge.Message.Told;

/**
 * Messages as datagrams of CBOR (RFC 8949): one array of the version, the digest of the fleet's
 * configuration, the kind and its fields in order, without names. Read strictly: another kind of
 * value, one out of its range or anything behind the end makes the datagram unreadable.
 */
final class Codec {
  /** What fits in a datagram that no network cuts up. */
  static final int MOST_BYTES = 1_400;

  private static final int VERSION = 1;

  enum Fault {
    UNREADABLE,
    OTHER_VERSION,
    OTHER_CONFIGURATION
  }

  /** Why a datagram is dropped. */
  static final class Dropped extends Exception {
    private static final long serialVersionUID = 1;
    final Fault fault;

    Dropped(Fault fault) {
      super(fault.name(), null, false, false);
      this.fault = fault;
    }
  }

  private final CBORFactory factory = new CBORFactory();
  private final long digest;

  /** Keepers and times of other front doors must be the same, or neither understands the other. */
  Codec(String name, Fleet fleet) {
    digest =
        ByteBuffer.wrap(PurgeId.sha256(name + ' ' + fleet.keepers() + ' ' + fleet.timing()))
            .getLong();
  }

  byte[] encode(Message message) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
    try (CBORGenerator out = factory.createGenerator(bytes)) {
      out.writeStartArray();
      out.writeNumber(VERSION);
      out.writeNumber(digest);
      fields(message, out);
      out.writeEndArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  Message decode(byte[] datagram) throws Dropped {
    if (datagram.length > MOST_BYTES) {
      throw new Dropped(Fault.UNREADABLE);
    }
    try (CBORParser parser = factory.createParser(datagram)) {
      Fields in = new Fields(parser);
      in.open();
      if (in.number(0, Integer.MAX_VALUE) != VERSION) {
        throw new Dropped(Fault.OTHER_VERSION);
      }
      if (in.number(Long.MIN_VALUE, Long.MAX_VALUE) != digest) {
        throw new Dropped(Fault.OTHER_CONFIGURATION);
      }
      Message message = in.message();
      in.end();
      return message;
    } catch (IOException | IllegalArgumentException e) {
      throw new Dropped(Fault.UNREADABLE);
    }
  }

  private static void fields(Message message, CBORGenerator out) throws IOException {
    if (message instanceof Renew renew) {
      numbers(out, 1, renew.boot(), renew.number(), renew.heard());
      out.writeStartArray();
      for (long run : renew.applied()) {
        out.writeNumber(run);
      }
      out.writeEndArray();
    } else if (message instanceof Grant grant) {
      numbers(out, 2, grant.boot(), grant.number(), grant.more() ? 1 : 0);
      out.writeStartArray();
      for (Purge purge : grant.purges()) {
        purge(out, purge);
      }
      out.writeEndArray();
    } else if (message instanceof Accept accept) {
      numbers(out, 3, accept.number());
      purge(out, accept.purge());
      claims(out, accept.claims());
    } else if (message instanceof Accepted accepted) {
      numbers(out, 4, accepted.run(), accepted.number(), accepted.acceptance(), accepted.page());
      out.writeStartArray();
      for (Outstanding lease : accepted.outstanding()) {
        int place = lease.holder().member() - accepted.page() * Fleet.PAGE;
        numbers(out, place, lease.holder().boot(), lease.leftMs());
      }
      out.writeEndArray();
    } else if (message instanceof Refused refused) {
      numbers(out, 5, refused.run(), refused.reason().ordinal());
      if (refused.id() != null) {
        numbers(out, refused.id().high(), refused.id().low());
      }
    } else if (message instanceof Apply apply) {
      numbers(out, 6);
      purge(out, apply.purge());
    } else if (message instanceof Applied applied) {
      numbers(out, 7, applied.run(), applied.boot());
    } else if (message instanceof Done done) {
      numbers(out, 8);
      purge(out, done.purge());
      claims(out, done.claims());
      result(out, done.result());
    } else if (message instanceof Noted noted) {
      numbers(out, 9, noted.run());
    } else if (message instanceof Ask ask) {
      numbers(out, 10, ask.number(), ask.id().high(), ask.id().low());
    } else if (message instanceof Told told) {
      numbers(out, 11, told.number(), told.id().high(), told.id().low(), told.state().ordinal());
      if (told.scope() != null) {
        scope(out, told.scope());
        numbers(out, told.mark());
      }
      if (told.result() != null) {
        result(out, told.result());
      }
    }
  }

  private static void numbers(CBORGenerator out, long... numbers) throws IOException {
    for (long number : numbers) {
      out.writeNumber(number);
    }
  }

  private static void purge(CBORGenerator out, Purge purge) throws IOException {
    numbers(out, purge.run(), purge.from());
    scope(out, purge.scope());
  }

  private static void scope(CBORGenerator out, Scope scope) throws IOException {
    out.writeString(scope.customer());
    out.writeString(scope.prefix());
  }

  private static void claims(CBORGenerator out, Iterable<Claim> claims) throws IOException {
    out.writeStartArray();
    for (Claim claim : claims) {
      numbers(out, claim.id().high(), claim.id().low(), claim.mark());
    }
    out.writeEndArray();
  }

  private static void result(CBORGenerator out, Result result) throws IOException {
    numbers(out, result.confirmed());
    out.writeStartArray();
    for (int member : result.ranOut()) {
      out.writeNumber(member);
    }
    out.writeEndArray();
  }
}
