package org.clementinesail.core.responses;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.clementinesail.core.responses.ResponseHead.Use;
import org.clementinesail.core.responses.ResponseProgress.EventUse;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what a head means before and within a response, and which events may follow. */
public final class ResponseHeadTest {
  private static final String EVENTS = "text/event-stream";

  private static ResponseHead head(int status, @Nullable String type) {
    return new ResponseHead(status, false, true, type, false);
  }

  private static ResponseProgress begun(@Nullable String type, String... ids) {
    ResponseProgress progress = new ResponseProgress(null);
    progress.recordHead(type);
    for (String id : ids) {
      progress.recordEvent(id);
    }
    return progress;
  }

  /** Heads, and their use as the first and as a later answer to a request on a stream route. */
  @DataProvider
  public Object[][] heads() {
    return new Object[][] {
      {head(200, EVENTS), Use.EVENTS, Use.EVENTS},
      {head(200, "Text/Event-Stream; charset=utf-8"), Use.EVENTS, Use.EVENTS},
      {head(200, null), Use.EVENTS, Use.NO_CONTINUATION},
      {head(200, "text/plain"), Use.WHOLE, Use.NO_CONTINUATION},
      {head(200, "text/event-streams"), Use.WHOLE, Use.NO_CONTINUATION},
      {head(204, EVENTS), Use.WHOLE, Use.NO_CONTINUATION},
      {head(206, EVENTS), Use.EVENTS, Use.NO_CONTINUATION},
      {head(304, EVENTS), Use.WHOLE, Use.NO_CONTINUATION},
      {head(404, null), Use.WHOLE, Use.NO_CONTINUATION},
      {head(500, EVENTS), Use.WHOLE, Use.NO_CONTINUATION},
      {head(503, null), Use.WHOLE, Use.NO_CONTINUATION},
      {new ResponseHead(200, false, true, EVENTS, true), Use.EVENTS, Use.NO_CONTINUATION},
      {new ResponseHead(200, false, false, EVENTS, false), Use.UNPROVEN, Use.UNPROVEN},
      {new ResponseHead(503, true, true, null, false), Use.REFUSAL, Use.REFUSAL},
    };
  }

  /** Only an event stream with proof may follow in a response that has begun. */
  @Test(dataProvider = "heads")
  public void onlyAnEventStreamContinues(ResponseHead head, Use first, Use later) {
    assertEquals(head.use(true, new ResponseProgress(null)), first);
    assertEquals(head.use(true, begun(EVENTS, "1")), later);
  }

  /** On other routes no response follows another. */
  @Test
  public void plainRouteIsNotContinued() {
    ResponseHead head = head(200, EVENTS);
    assertEquals(head.use(false, new ResponseProgress(null)), Use.WHOLE);
    assertEquals(head.use(false, begun(EVENTS, "1")), Use.NO_CONTINUATION);
  }

  /** A stream without a type goes on with another one without a type. */
  @Test
  public void streamWithoutTypeContinues() {
    assertEquals(head(200, null).use(true, begun(null, "1")), Use.EVENTS);
  }

  /** Tests which streams may go on at another target. */
  public static final class ProgressTest {
    /** Ids of the events sent, and whether the stream may be continued. */
    @DataProvider
    public Object[][] sent() {
      return new Object[][] {
        {new String[] {}, true},
        {new String[] {"1", "2", "9"}, true},
        {new String[] {"1", null}, false},
        {new String[] {null, "1"}, false},
        {new String[] {"2", "1"}, false},
        {new String[] {"1", "1"}, false},
        {new String[] {"a"}, false},
        {new String[] {""}, false},
        {new String[] {"99999999999999999999"}, false},
      };
    }

    /** Events without rising numbers as ids would be repeated. */
    @Test(dataProvider = "sent")
    public void streamWithoutRisingIdsIsNotContinued(String[] ids, boolean mayContinue) {
      ResponseProgress progress = begun(EVENTS, ids);
      assertEquals(progress.mayContinue(), mayContinue);
      Use use = head(200, EVENTS).use(true, progress);
      assertEquals(use, mayContinue ? Use.EVENTS : Use.NO_CONTINUATION);
    }

    /** Bytes that are no events cannot be continued by events. */
    @Test
    public void otherBytesAreNotContinued() {
      ResponseProgress progress = begun(EVENTS);
      progress.recordBytes();
      assertFalse(progress.mayContinue());
    }

    /** The first event must follow the one that the caller named. */
    @Test
    public void callersLastEventCounts() {
      ResponseProgress progress = new ResponseProgress("12");
      progress.recordEvent("13");
      assertTrue(progress.mayContinue());
      assertEquals(progress.lastEventId(), "13");
      ResponseProgress repeated = new ResponseProgress("12");
      repeated.recordEvent("1");
      assertFalse(repeated.mayContinue());
    }

    /** Id of an event, id after which its run began, and its use at first and continued. */
    @DataProvider
    public Object[][] events() {
      return new Object[][] {
        {"3", "2", EventUse.SEND, EventUse.SEND},
        {"2", "2", EventUse.SKIP, EventUse.SKIP},
        {"1", "2", EventUse.SKIP, EventUse.SKIP},
        {"10", "9", EventUse.SEND, EventUse.SEND},
        {"1", null, EventUse.SEND, EventUse.SEND},
        {null, "2", EventUse.SEND, EventUse.UNKNOWN_PLACE},
        {"a", "2", EventUse.SEND, EventUse.UNKNOWN_PLACE},
        {"a", "a", EventUse.SKIP, EventUse.UNKNOWN_PLACE},
      };
    }

    /** No event comes twice, and none whose place is unknown. */
    @Test(dataProvider = "events")
    public void eventsFollowTheLast(
        @Nullable String id, @Nullable String start, EventUse first, EventUse continued) {
      assertEquals(ResponseProgress.use(id, start, false), first);
      assertEquals(ResponseProgress.use(id, start, true), continued);
    }
  }
}
