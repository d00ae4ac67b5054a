package elmsail.notary;

import elmsail.inner.words.Seat;
import elmsail.inner.words.Seating;
import elmsail.station.Code;
import elmsail.station.ElmsailException;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/** Seatings as a register's values. None is ever changed once it was passed on. */
final class SeatingValues {
  private static final int MOST_SEATS = 64;

  private SeatingValues() {
  }

  static byte[] bytes(Seating seating) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeInt(seating.seats.size());
      for (Seat seat : seating.seats) {
        out.writeUTF(seat.address);
        out.writeUTF(seat.station);
        out.writeLong(seat.life);
        out.writeInt(seat.incarnation);
      }
    } catch (IOException e) {
      throw new ElmsailException(Code.FAULT, "seating", e);
    }
    return bytes.toByteArray();
  }

  /** Null is a seating without seats. */
  static Seating of(byte[] bytes) {
    Seating seating = new Seating();
    if (bytes == null) {
      return seating;
    }
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
      int count = in.readInt();
      if (count < 0 || count > MOST_SEATS) {
        throw new ElmsailException(Code.GARBLED, "seats: " + count);
      }
      for (int i = 0; i < count; i++) {
        String address = in.readUTF();
        seating.seats.add(seat(address, in.readUTF(), in.readLong(), in.readInt()));
      }
    } catch (IOException e) {
      throw new ElmsailException(Code.GARBLED, "seating", e);
    }
    return seating;
  }

  static Seat seat(String address, String station, long life, int incarnation) {
    Seat seat = new Seat();
    seat.address = address;
    seat.station = station;
    seat.life = life;
    seat.incarnation = incarnation;
    return seat;
  }

  /** The seat that the process at that address holds, or -1. */
  static int seatOf(Seating seating, String address) {
    for (int i = 0; i < seating.seats.size(); i++) {
      if (seating.seats.get(i).address.equals(address)) {
        return i;
      }
    }
    return -1;
  }
}
