package elmsail.rpc;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;
import static org.hamcrest.Matchers.sameInstance;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.rpc.messages.AcceptRequest;
import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.Blob;
import elmsail.rpc.messages.ClusterView;
import elmsail.rpc.messages.OpaqueMessage;
import elmsail.rpc.messages.PrepareRequest;
import elmsail.rpc.messages.PullResponse;
import elmsail.rpc.messages.ServerLoadEntry;
import elmsail.rpc.messages.ServiceDemand;
import elmsail.rpc.messages.UsageCount;
import elmsail.rpc.messages.UsageWindow;
import elmsail.rpc.messages.VoteResponse;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Every word survives the wire, filled, bare, and with fields that are null. */
class MessageCodecTest {

  private final MessageCodec codec = new MessageCodec();

  static Stream<Class<?>> messageTypes() {
    return IntStream.range(1, MessageTypes.size()).mapToObj(MessageTypes::typeOf);
  }

  @ParameterizedTest
  @MethodSource("messageTypes")
  void filledMessageRoundTrips(Class<?> type) throws ReflectiveOperationException {
    Random random = new Random(type.getName().hashCode());
    for (int i = 0; i < 50; i++) {
      Object message = filled(type, random, 0);
      Object copy = codec.copy(message);
      assertThat(copy, is(not(sameInstance(message))));
      assertSame(type.getSimpleName(), message, copy);
    }
  }

  @ParameterizedTest
  @MethodSource("messageTypes")
  void newMessageRoundTrips(Class<?> type) throws ReflectiveOperationException {
    Object message = type.getDeclaredConstructor().newInstance();
    assertSame(type.getSimpleName(), message, codec.copy(message));
  }

  @ParameterizedTest
  @MethodSource("messageTypes")
  void nullFieldDecodesToItsDefault(Class<?> type) throws ReflectiveOperationException {
    Object message = type.getDeclaredConstructor().newInstance();
    for (Field field : fields(type)) {
      if (!field.getType().isPrimitive()) {
        field.set(message, null);
      }
    }
    assertSame(
        type.getSimpleName(), type.getDeclaredConstructor().newInstance(), codec.copy(message));
  }

  @ParameterizedTest
  @MethodSource("messageTypes")
  void typeNumberIsThatOfTheTable(Class<?> type) throws ReflectiveOperationException {
    int number = codec.typeNumber(type.getDeclaredConstructor().newInstance());
    assertThat(MessageTypes.typeOf(number), equalTo((Object) type));
  }

  @Test
  void typeNumbersAreStable() {
    List<String> names = new ArrayList<>();
    messageTypes().forEach(type -> names.add(type.getSimpleName()));
    assertThat(
        names.subList(0, 16),
        contains(
            "PullRequest",
            "PullResponse",
            "PrepareRequest",
            "AcceptRequest",
            "ReadRequest",
            "VoteResponse",
            "JoinRequest",
            "JoinResponse",
            "StateTransferRequest",
            "StateTransferResponse",
            "OpaqueMessage",
            "Ballot",
            "Blob",
            "ClusterView",
            "Voter",
            "VoterSet"));
  }

  @Test
  void everyMessageClassHasATypeNumber() throws Exception {
    File folder = new File(Ballot.class.getResource("Ballot.class").toURI()).getParentFile();
    int found = 0;
    for (String file : folder.list()) {
      if (!file.endsWith(".class") || file.equals("package-info.class")) {
        continue;
      }
      String name = Ballot.class.getPackageName() + "." + file.substring(0, file.length() - 6);
      assertThat(name, MessageTypes.numberOf(Class.forName(name)), is(not(MessageTypes.NONE)));
      found++;
    }
    assertThat(found, is(MessageTypes.size() - 1));
  }

  @Test
  void nullAndEmptyBytesDifferWhereThereIsNoDefault() {
    VoteResponse vote = new VoteResponse();
    assertThat(codec.copy(vote).value, is(nullValue()));
    vote.value = new byte[0];
    assertThat(codec.copy(vote).value, is(notNullValue()));
    PrepareRequest request = new PrepareRequest();
    assertThat(codec.copy(request).sideEffect, is(nullValue()));
    request.sideEffect = new byte[0];
    assertThat(codec.copy(request).sideEffect, equalTo(new byte[0]));
  }

  @Test
  void emptyListsRoundTrip() {
    assertThat(codec.copy(new AcceptRequest()).blobs, is(empty()));
    assertThat(codec.copy(new VoterSet()).voters, is(empty()));
    assertThat(codec.copy(new ClusterView()).gateways, is(empty()));
    VoterSet bare = new VoterSet();
    bare.voters.add(new Voter());
    assertThat(codec.copy(bare).voters.size(), is(1));
  }

  @Test
  void copySharesNothing() {
    AcceptRequest request = new AcceptRequest();
    request.value = new byte[] {1, 2};
    request.ballot.round = 7;
    AcceptRequest copy = codec.copy(request);
    request.value[0] = 9;
    request.ballot.round = 8;
    assertThat(copy.value[0], is((byte) 1));
    assertThat(copy.ballot.round, is(7L));
  }

  @Test
  void largeArraysRoundTrip() {
    OpaqueMessage message = new OpaqueMessage();
    message.bytes = new byte[5 << 20];
    new Random(3).nextBytes(message.bytes);
    assertThat(codec.copy(message).bytes, equalTo(message.bytes));
  }

  @Test
  void objectWithoutATypeNumberIsAnInternalError() {
    assertThat(
        assertThrows(ElmsailException.class, () -> codec.copy("word")).code(),
        is(ErrorCode.INTERNAL));
    assertThat(
        assertThrows(ElmsailException.class, () -> codec.copy(null)).code(),
        is(ErrorCode.INTERNAL));
  }

  @Test
  void unknownTypeNumbersAreMalformed() {
    for (int number : new int[] {-1, 0, MessageTypes.size(), 0x7fff}) {
      assertThat(
          assertThrows(ElmsailException.class, () -> codec.read(number, new byte[0], 0, 0)).code(),
          is(ErrorCode.MALFORMED));
    }
  }

  @Test
  void corruptBytesAreReadOrMalformedAndTheCodecStaysUsable() throws ReflectiveOperationException {
    Random random = new Random(11);
    for (int i = 0; i < 3_000; i++) {
      int number = 1 + random.nextInt(MessageTypes.size() - 1);
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      codec.write(number, filled(MessageTypes.typeOf(number), random, 0), out);
      byte[] bytes = out.toByteArray();
      for (int j = 0; j < 3 && bytes.length > 0; j++) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      }
      try {
        codec.read(number, bytes, 0, random.nextInt(bytes.length + 1));
      } catch (ElmsailException e) {
        assertThat(e.code(), is(ErrorCode.MALFORMED));
      }
    }
    PullResponse message = new PullResponse();
    message.configVersion = 5;
    assertThat(codec.copy(message).configVersion, is(5L));
  }

  private static Object filled(Class<?> type, Random random, int depth)
      throws ReflectiveOperationException {
    Object message = type.getDeclaredConstructor().newInstance();
    for (Field field : fields(type)) {
      Class<?> of = field.getType();
      if (of == long.class) {
        field.setLong(message, random.nextLong());
      } else if (of == int.class) {
        field.setInt(message, random.nextInt());
      } else if (of == boolean.class) {
        field.setBoolean(message, random.nextBoolean());
      } else if (of == String.class) {
        field.set(message, "\u00e4" + Long.toString(random.nextLong(), 36));
      } else if (of == byte[].class) {
        byte[] bytes = new byte[random.nextInt(3_000)];
        random.nextBytes(bytes);
        field.set(message, bytes);
      } else if (of == List.class) {
        field.set(message, list(field.getName(), random, depth));
      } else {
        field.set(message, filled(of, random, depth + 1));
      }
    }
    return message;
  }

  private static List<Object> list(String name, Random random, int depth)
      throws ReflectiveOperationException {
    List<Object> list = new ArrayList<>();
    for (int i = random.nextInt(4); i > 0; i--) {
      switch (name) {
        case "voters" -> list.add(filled(Voter.class, random, depth + 1));
        case "blobs", "records" -> list.add(filled(Blob.class, random, depth + 1));
        case "servers" -> list.add(filled(ServerLoadEntry.class, random, depth + 1));
        case "demand" -> list.add(filled(ServiceDemand.class, random, depth + 1));
        case "slots" -> list.add(random.nextInt());
        case "votes" -> list.add(filled(VoteResponse.class, random, depth + 1));
        case "windows" -> list.add(filled(UsageWindow.class, random, depth + 1));
        case "counts" -> list.add(filled(UsageCount.class, random, depth + 1));
        case "gateways" -> list.add("10.0.0." + random.nextInt());
        default -> throw new AssertionError("a list that this test does not know: " + name);
      }
    }
    return list;
  }

  private static void assertSame(String path, Object expected, Object found)
      throws ReflectiveOperationException {
    if (expected instanceof List<?> list) {
      assertThat(path, ((List<?>) found).size(), is(list.size()));
      for (int i = 0; i < list.size(); i++) {
        assertSame(path + i, list.get(i), ((List<?>) found).get(i));
      }
    } else if (expected != null && expected.getClass().getPackage() == Ballot.class.getPackage()) {
      for (Field field : fields(expected.getClass())) {
        assertSame(path + "." + field.getName(), field.get(expected), field.get(found));
      }
    } else {
      assertThat(path, found, equalTo(expected));
    }
  }

  private static List<Field> fields(Class<?> type) {
    List<Field> fields = new ArrayList<>();
    for (Field field : type.getDeclaredFields()) {
      if (!Modifier.isStatic(field.getModifiers())) {
        fields.add(field);
      }
    }
    return fields;
  }
}
