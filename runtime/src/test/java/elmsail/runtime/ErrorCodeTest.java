package elmsail.runtime;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class ErrorCodeTest {

  @Test
  void wireNameIsReadBack() {
    for (ErrorCode code : ErrorCode.values()) {
      assertThat(ErrorCode.fromWireName(code.wireName()), is(Optional.of(code)));
    }
    assertThat(ErrorCode.fromWireName("TIMEOUT"), is(Optional.empty()));
  }

  @Test
  void messageHasTheCodeAndDetailHasNot() {
    ElmsailException failure = new ElmsailException(ErrorCode.INVALID_ARGUMENT, "version: missing");
    assertThat(failure.getMessage(), is("INVALID_ARGUMENT: version: missing"));
    assertThat(failure.detail(), is("version: missing"));
  }
}
