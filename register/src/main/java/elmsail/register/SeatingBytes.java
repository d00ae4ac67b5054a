package elmsail.register;

import elmsail.inner.words.Seat;
import elmsail.inner.words.Seating;
import elmsail.station.Code;
import elmsail.station.ElmsailException;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/** A seating as its record on disk. */
final class SeatingBytes {
  private SeatingBytes() {
  }

  static byte[] of(Seating seating) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
    DataOutputStream out = new DataOutputStream(bytes);
    try {
      out.writeShort(seating.seats.size());
      for (Seat seat : seating.seats) {
        out.writeUTF(seat.address);
        out.writeUTF(seat.station);
        out.writeLong(seat.life);
        out.writeInt(seat.incarnation);
      }
      for (Seat seat : seating.seats) {
        out.writeUTF(seat.beforeAddress);
        out.writeLong(seat.beforeLife);
        out.writeInt(seat.beforeIncarnation);
      }
    } catch (IOException e) {
      throw new ElmsailException(Code.FAULT, "a seating that cannot be written", e);
    }
    return bytes.toByteArray();
  }

  static Seating seating(byte[] bytes) {
    Seating seating = new Seating();
    if (bytes == null) {
      return seating;
    }
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
    try {
      int seats = in.readUnsignedShort();
      for (int i = 0; i < seats; i++) {
        Seat seat = new Seat();
        seat.address = in.readUTF();
        seat.station = in.readUTF();
        seat.life = in.readLong();
        seat.incarnation = in.readInt();
        seating.seats.add(seat);
      }
      for (int i = 0; i < seats && in.available() > 0; i++) {
        Seat seat = seating.seats.get(i);
        seat.beforeAddress = in.readUTF();
        seat.beforeLife = in.readLong();
        seat.beforeIncarnation = in.readInt();
      }
    } catch (IOException e) {
      throw new ElmsailException(Code.DISK, "a seating that cannot be read", e);
    }
    return seating;
  }
}
