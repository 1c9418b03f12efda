package org.clementinesail.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import org.clementinesail.core.state.Command;
import org.clementinesail.core.state.CommandResult;
import org.clementinesail.core.state.DesiredDocument;
import org.clementinesail.core.state.SystemState;
import org.clementinesail.wire.proto.DesiredImage;
import org.clementinesail.wire.proto.StateImage;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that "no desired state" and a version of any number are told apart in snapshots. */
public class DesiredDocumentCodecTest {
  private static final byte[] DOCUMENT = {1, 2, 3};

  /** Numbers of versions, 0 and negative ones among them. */
  @DataProvider
  public Object[][] versions() {
    return new Object[][] {{0L}, {-1L}, {1L}, {Long.MIN_VALUE}, {Long.MAX_VALUE}};
  }

  /** Guards against a first version 0 that counts as none (review/10). */
  @Test(dataProvider = "versions")
  public void snapshotHoldsVersionOfAnyNumber(long version) {
    SystemState state = SystemState.empty();
    DesiredDocument document = new DesiredDocument(version, DOCUMENT);
    assertEquals(
        state.apply(new Command.PutDesired(document)), new CommandResult.DesiredHeld(version));
    SystemState restored = StateCodec.decodeState(StateCodec.encode(state.contents()));
    DesiredDocument held = restored.desiredDocument().orElseThrow();
    assertEquals(held.version(), version);
    assertEquals(held.compressed(), DOCUMENT);
  }

  /** A later lower version changes nothing; the highest version stays in force. */
  @Test
  public void highestVersionIsHeld() {
    SystemState state = SystemState.empty();
    for (long version : new long[] {0, 1, 0, -1}) {
      state.apply(new Command.PutDesired(new DesiredDocument(version, DOCUMENT)));
    }
    assertEquals(state.desiredDocument().map(DesiredDocument::version), Optional.of(1L));
  }

  /** A snapshot without a version, of this build or the one before, is read as without one. */
  @Test
  public void snapshotWithoutVersionIsReadAsNone() throws InvalidProtocolBufferException {
    byte[] bytes = StateCodec.encode(SystemState.empty().contents());
    assertTrue(StateCodec.decodeState(bytes).desiredDocument().isEmpty());
    StateImage before =
        StateImage.parseFrom(bytes).toBuilder()
            .setDesired(DesiredImage.getDefaultInstance())
            .build();
    assertTrue(StateCodec.decodeState(before.toByteArray()).desiredDocument().isEmpty());
  }
}
