package org.clementinesail.server.nodes;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.clementinesail.wire.PeerNetwork;
import org.clementinesail.wire.SharedSecret;
import org.testng.annotations.Test;

/** Tests when {@link Subscriptions} requests full updates. */
public class SubscriptionsTest {
  /** Renewals that stay unknown would otherwise request all statements four times a second. */
  @Test
  public void unknownStatementsAreRequestedOnceASecond() throws Exception {
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    PeerNetwork network =
        PeerNetwork.byAddress("e", null, new SharedSecret("secret"), (vm, frame) -> {}, group);
    Subscriptions subscriptions = new Subscriptions(network, OptionalLong::empty, null);
    long now = System.nanoTime();
    assertTrue(subscriptions.requestUnknownStatements("c1", now));
    assertFalse(subscriptions.requestUnknownStatements("c2", now + 999_999_999L));
    assertTrue(subscriptions.requestUnknownStatements("c2", now + 1_000_000_000L));
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }
}
