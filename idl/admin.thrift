/*
    The administration API: compact protocol over framed TCP, served by every entry VM.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

namespace cpp Cloverbarrow.Wire

/** Why a call failed. */
enum FailureKind {
    INVALID = 1,
    CONFLICT = 2,
    NOT_FOUND = 3,
    /** Nothing was done; try again later. */
    UNAVAILABLE = 4,
    /** The change may or may not have been accepted; read it back. */
    UNKNOWN = 5,
}

exception Failure {
    1: FailureKind kind,
    2: string step,
    3: string peer,
    4: string message,
    /** With CONFLICT: the version in force and a diff from it to what was sent. */
    5: i64 currentVersion,
    6: string diff,
    /** With INVALID: one fault a line, as `line: key: expected ...`. */
    7: list<string> faults,
}

struct Change {
    1: string author,
    2: string reason,
    3: i64 timeMs,
    4: string what,
    5: i64 overVersion,
}

struct AcceptedIntent {
    1: i64 version,
    2: string document,
    3: list<string> drains,
}

struct ApplyRequest {
    1: string document,
    /** The change is made only if this version is in force; 0 means that there is none yet. */
    2: i64 expectedVersion,
    3: string author,
    4: string reason,
    5: bool isDryRun,
}

struct ApplyResult {
    /** The accepted version; with a dry run the one in force. */
    1: i64 version,
    2: string diff,
}

struct DrainRequest {
    1: string serviceName,
    2: string backend,
    /** False takes the drain back. */
    3: bool isDrained,
    4: string author,
    5: string reason,
}

struct EntryVmStatus {
    1: string name,
    2: string adminAddress,
    3: string zone,
    4: string region,
    5: i64 configurationVersion,
    6: string state,
    7: i64 silenceMs,
}

struct BackendStatus {
    1: string serviceName,
    2: string name,
    3: string address,
    4: string zone,
    5: string state,
    6: i32 inFlight,
    7: i32 reportedLoad,
    8: double latencyMs,
}

struct ShareStatus {
    1: string serviceName,
    2: i32 held,
}

struct Status {
    1: string servedBy,
    2: i64 configurationVersion,
    3: bool isReady,
    4: string reason,
    5: bool isPlatformSilent,
    6: list<EntryVmStatus> entryVms,
    7: list<BackendStatus> backends,
    8: list<ShareStatus> shares,
    /** Whether this entry VM's own lease is valid; it needs one only while it holds shares. */
    9: bool isLeaseValid,
    /** Drained by operators, each as service/backend. */
    10: list<string> drains,
}

struct PayoutStatus {
    1: string state,
    2: string serviceName,
    3: string key,
    4: string creator,
    5: i32 status,
    6: string result,
}

/** Counts of one service and kind in one window. */
struct BurnCount {
    1: string serviceName,
    2: string kind,
    3: i32 windowSeconds,
    4: i64 total,
    5: i64 unavailable,
    6: i64 slow,
}

/** What one entry VM has counted. */
struct BurnCounts {
    /** How long it has been counting; older windows are not covered whole. */
    1: i64 countedSeconds,
    2: list<BurnCount> counts,
}

service Admin {
    ApplyResult apply(1: ApplyRequest request) throws (1: Failure failure),
    AcceptedIntent get() throws (1: Failure failure),
    list<Change> history() throws (1: Failure failure),
    ApplyResult drain(1: DrainRequest request) throws (1: Failure failure),
    Status status() throws (1: Failure failure),
    /** Every record under this idempotency key, of any service. */
    list<PayoutStatus> payout(1: string key) throws (1: Failure failure),
    /** What this entry VM alone has counted. */
    BurnCounts burn() throws (1: Failure failure),
}
