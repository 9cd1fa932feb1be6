#pragma once

#include <absl/status/status.h>

#include <string_view>

namespace fuchsialb {

/// \brief Why a decision was taken or a call failed. Names are stable: callers, logs, spans and `explain` show them.
///
/// X(Enumerator, "name", absl status code)
#define FUCHSIALB_REASONS(X)                                                                                           \
    X(Ok, "ok", kOk)                                                                                                   \
    X(InvalidInput, "invalid-input", kInvalidArgument)                                                                 \
    X(InvalidFlag, "invalid-flag", kInvalidArgument)                                                                   \
    X(InvalidInventory, "invalid-inventory", kInvalidArgument)                                                         \
    X(InvalidRules, "invalid-rules", kInvalidArgument)                                                                 \
    X(InvalidConfiguration, "invalid-configuration", kInvalidArgument)                                                 \
    X(MalformedMessage, "malformed-message", kInvalidArgument)                                                         \
    X(WrongFleet, "wrong-fleet", kPermissionDenied)                                                                    \
    X(WrongProtocol, "wrong-protocol", kFailedPrecondition)                                                            \
    X(WrongKey, "wrong-key", kUnauthenticated)                                                                         \
    X(BodyTooLarge, "body-too-large", kResourceExhausted)                                                              \
    X(OrganisationRequired, "organisation-required", kInvalidArgument)                                                 \
    X(OrganisationUnknown, "organisation-unknown", kPermissionDenied)                                                  \
    X(TargetUnknown, "target-unknown", kNotFound)                                                                      \
    X(IdempotencyKeyRequired, "idempotency-key-required", kInvalidArgument)                                            \
    X(IdempotencyKeyReused, "idempotency-key-reused", kInvalidArgument)                                                \
    X(RequestInProgress, "request-in-progress", kAborted)                                                              \
    X(AlreadyCompleted, "already-completed", kAlreadyExists)                                                           \
    X(EarlierAttemptUnknown, "earlier-attempt-unknown", kUnknown)                                                      \
    X(DeadlineUnreachable, "deadline-unreachable", kResourceExhausted)                                                 \
    X(DeadlineExceeded, "deadline-exceeded", kDeadlineExceeded)                                                        \
    X(QueueFull, "queue-full", kResourceExhausted)                                                                     \
    X(Overloaded, "overloaded", kResourceExhausted)                                                                    \
    X(RetryBudgetExhausted, "retry-budget-exhausted", kResourceExhausted)                                              \
    X(NoRoute, "no-route", kUnavailable)                                                                               \
    X(NoScheduler, "no-scheduler", kUnavailable)                                                                       \
    X(SchedulerLost, "scheduler-lost", kUnavailable)                                                                   \
    X(OwnershipMoved, "ownership-moved", kUnavailable)                                                                 \
    X(ShuttingDown, "shutting-down", kUnavailable)                                                                     \
    X(StoreUnavailable, "store-unavailable", kUnavailable)                                                             \
    X(StoreConflict, "store-conflict", kAborted)                                                                       \
    X(StoreAnswerLost, "store-answer-lost", kUnknown)                                                                  \
    X(StoreBehind, "config-store-behind", kDataLoss)                                                                   \
    X(VersionConflict, "version-conflict", kAborted)                                                                   \
    X(ConnectFailed, "connect-failed", kUnavailable)                                                                   \
    X(ConnectionLost, "connection-lost", kUnavailable)                                                                 \
    X(ConnectionSilent, "connection-silent", kUnavailable)                                                             \
    X(Timeout, "timeout", kDeadlineExceeded)                                                                           \
    X(EndpointRefused, "endpoint-refused", kUnavailable)                                                               \
    X(EndpointFailed, "endpoint-failed", kInternal)                                                                    \
    X(StageFailed, "stage-failed", kUnavailable)                                                                       \
    X(OldEpoch, "old-epoch", kFailedPrecondition)                                                                      \
    X(OldFence, "old-fence", kFailedPrecondition)                                                                      \
    X(Cancelled, "cancelled", kCancelled)                                                                              \
    X(Preempted, "preempted", kAborted)                                                                                \
    X(Admitted, "admitted", kOk)                                                                                       \
    X(Queued, "queued", kOk)                                                                                           \
    X(Dispatched, "dispatched", kOk)                                                                                   \
    X(Retried, "retried", kOk)                                                                                         \
    X(RecoveredByImport, "recovered-by-import", kOk)                                                                   \
    X(RecoveredByReplay, "recovered-by-replay", kOk)                                                                   \
    X(RecoveredByPrefix, "recovered-by-prefix", kOk)                                                                   \
    X(Internal, "internal", kInternal)

enum class Reason : unsigned char {
#define FUCHSIALB_REASON_ENUMERATOR(enumerator, name, code) enumerator,
    FUCHSIALB_REASONS(FUCHSIALB_REASON_ENUMERATOR)
#undef FUCHSIALB_REASON_ENUMERATOR
};

std::string_view reasonName(Reason reason);

/// \brief Builds a status that carries `reason` as a typed payload.
/// \param reason Must not be one of the reasons that map to OK.
/// \param detail What was read and what is accepted, for a person to read.
absl::Status error(Reason reason, std::string_view detail);

/// \return The reason that `status` carries, `Reason::Ok` for OK, `Reason::Internal` when it carries none.
Reason reasonOf(const absl::Status& status);

} // namespace fuchsialb
