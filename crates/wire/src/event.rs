//! The numbered log events.
//!
//! `docs/EVENTS.md` explains each number; a test compares the page with [`Event::ALL`].

use std::fmt;

macro_rules! events {
    ($($name:ident = $number:literal, $text:literal;)*) => {
        /// A numbered log event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Event { $(#[doc = $text] $name,)* }

        impl Event {
            /// All events, in numerical order.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the event's number. The meaning of a number never changes.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Returns the fixed part of the log line.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

events! {
    NodeStarted = 1001, "node started";
    NodeStopping = 1002, "node stops";
    NodeStopped = 1003, "node stopped";
    SettingsReloaded = 1004, "settings read again";
    LinesDropped = 1005, "lines dropped";
    RequestRouted = 1101, "request routed";
    RequestRefused = 1102, "request refused";
    RequestAnswered = 1103, "request answered";
    CallPlaced = 1201, "call placed";
    CallQueued = 1202, "call queued";
    CallRetried = 1203, "call tried again";
    EndpointEjected = 1204, "endpoint ejected";
    EndpointRestored = 1205, "endpoint taken back";
    CallBlamed = 1206, "call blamed for a crash";
    StreamResumed = 1207, "stream goes on";
    StreamBroken = 1208, "stream broken off";
    CallerGone = 1209, "caller has gone";
    RequestCut = 1210, "cut off by the end of the process";
    TurnNotKept = 1211, "turn not kept yet";
    TurnNotSettled = 1212, "turn not settled";
    EventsNotRecorded = 1213, "a stream's events are no longer recorded";
    AnswerDisplaced = 1214, "answer broken off for the VM's memory";
    AnswerForeign = 1215, "answer isn't known to be the request's";
    BytesUnsolicited = 1216, "connection closed for unsolicited bytes";
    ConnectionsLetGo = 1217, "connections let go for others";
    TurnNotFound = 1218, "a turn isn't found";
    ShardClaimed = 2001, "shard claimed";
    ShardOpened = 2002, "shard opened";
    ShardReleased = 2003, "shard released";
    ShardLost = 2004, "shard lost to another owner";
    AppendUnknown = 2101, "append has an unknown outcome";
    OutageBegan = 2102, "platform outage began";
    OutageEnded = 2103, "platform outage ended";
    EntryWritten = 2104, "entry in the directory written";
    EntryLost = 2105, "entry in the directory lost";
    PeerUp = 3001, "peer is up";
    PeerDown = 3002, "peer is down";
    MembersChanged = 3101, "list of members in force";
    RecordsLearnt = 3102, "records learnt";
    RecordsMissing = 3103, "records not yet learnt";
    ChangeWaits = 3104, "change of members waits";
    DiskFailed = 3105, "the disk failed";
    MemberEvicted = 3106, "silent member taken off the list";
    MemberLeft = 3107, "all records are elsewhere";
    MembersLost = 3108, "too few members answer";
    MembersRegained = 3109, "enough members answer";
    DiskReplaced = 3110, "a member's disk is another one";
    RecordsDropped = 3111, "oldest records dropped as the disk fills";
    MembersBehind = 3112, "too few members have caught up";
    MembersShort = 3113, "too few complete members for another loss";
    MembersComplete = 3114, "enough complete members for another loss";
    RetirementWaits = 3115, "the VM can't be emptied yet";
    ListReset = 3116, "list of members reset to the disks that are left";
    AccountsIncomplete = 3117, "accounts may lack entries";
    TurnsRefused = 3118, "turns are refused for their records";
    TurnsServed = 3119, "turns are no longer refused for their records";
    RevisionApplied = 4001, "configuration revision in force";
    RevisionDropped = 4002, "configuration that can't be taken";
    ConfigurationStale = 4003, "configuration may be out of date";
    ConfigurationCurrent = 4004, "configuration is current again";
    DocumentNotFetched = 4005, "configuration not fetched";
    CacheReleased = 5001, "cache released";
    CacheSwept = 5002, "cache held for a gone program";
    EndpointLeaving = 5003, "endpoint leaves";
    EndpointAppeared = 5004, "endpoint appears";
    EndpointGone = 5005, "endpoint is gone";
    EntryUnreadable = 5006, "an entry names no endpoint";
    EndpointUnreachable = 5007, "endpoint can't be reached";
    EndpointReachable = 5008, "endpoint can be reached again";
    EndpointSilent = 5009, "nothing answers at an endpoint";
    EndpointRefuses = 5010, "an endpoint refuses connections";
    EntriesTaken = 5011, "endpoints' entries taken over";
    EndpointSuspected = 5012, "endpoint may be silent";
    EndpointCleared = 5013, "endpoint isn't silent";
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{} {}", self.number(), self.text())
    }
}
