"""Errors with stable codes that are shown to clients and operators."""

from enum import StrEnum
from typing import Any, ClassVar


class ExecutionStatus(StrEnum):
    """Whether the request was executed, as far as the error can tell."""

    NOT_RUN = "not_run"
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"
    NONE = "none"


class LacewingError(Exception):
    """Base of all errors that carry a stable code.

    Args:
        message: Human-readable description of the error.
        retry_after_s: Time after which the client should retry, in seconds.
        run: Whether the request was executed, if it differs from the default of the class.
        details: Further JSON values, such as the key and line of an invalid setting.
    """

    code: ClassVar[str] = "internal"
    status: ClassVar[int] = 500
    run: ExecutionStatus = ExecutionStatus.NONE

    def __init__(
        self,
        message: str,
        *,
        retry_after_s: float | None = None,
        run: ExecutionStatus | None = None,
        **details: Any,
    ) -> None:
        super().__init__(message)
        if run is not None:
            self.run = run
        self.message = message
        self.retry_after_s = retry_after_s
        self.details = details

    def to_body(self, request_id: str = "") -> dict[str, Any]:
        """Build the JSON error body for the client.

        Args:
            request_id: Identifier of the failed request.

        Returns:
            An object with the single member ``error``.
        """
        error: dict[str, Any] = {
            "code": self.code,
            "message": self.message,
            "run": str(self.run),
            "request_id": request_id,
        }
        if self.retry_after_s is not None:
            error["retry_after_s"] = self.retry_after_s
        if self.details:
            error["details"] = self.details
        return {"error": error}


class BadJson(LacewingError):
    """The body is not a JSON object."""

    code, status, run = "bad_json", 400, ExecutionStatus.NOT_RUN


class BadRequest(LacewingError):
    """A member of the body has an invalid type or value."""

    code, status, run = "bad_request", 400, ExecutionStatus.NOT_RUN


class TooLarge(LacewingError):
    """The body exceeds the size limit."""

    code, status, run = "too_large", 413, ExecutionStatus.NOT_RUN


class TooSlow(LacewingError):
    """The rest of the request did not arrive in time."""

    code, status, run = "too_slow", 408, ExecutionStatus.NOT_RUN


class NotFound(LacewingError):
    """The path does not exist."""

    code, status, run = "not_found", 404, ExecutionStatus.NOT_RUN


class MethodNotAllowed(LacewingError):
    """The path does not support the HTTP method."""

    code, status, run = "method_not_allowed", 405, ExecutionStatus.NOT_RUN


class Unauthorized(LacewingError):
    """The key is missing or unknown."""

    code, status, run = "unauthorized", 401, ExecutionStatus.NOT_RUN


class Forbidden(LacewingError):
    """The key is known but does not permit the operation."""

    code, status, run = "forbidden", 403, ExecutionStatus.NOT_RUN


class UnknownModel(LacewingError):
    """No route serves the requested model."""

    code, status, run = "unknown_model", 404, ExecutionStatus.NOT_RUN


class UnknownPool(LacewingError):
    """No pool or route has the requested name."""

    code, status, run = "unknown_pool", 404, ExecutionStatus.NOT_RUN


class KeyMissing(LacewingError):
    """A request that must not be executed twice has no idempotency key."""

    code, status, run = "key_missing", 400, ExecutionStatus.NOT_RUN


class KeyReused(LacewingError):
    """The idempotency key was already used with a different body."""

    code, status, run = "key_reused", 422, ExecutionStatus.NONE


class Overloaded(LacewingError):
    """The request was shed because demand exceeds capacity."""

    code, status, run = "overloaded", 503, ExecutionStatus.NOT_RUN


class NotRun(LacewingError):
    """The request could not be executed and was not sent to any endpoint."""

    code, status, run = "not_run", 503, ExecutionStatus.NOT_RUN


class NotReady(LacewingError):
    """The node has not loaded its configuration or not replayed the claims yet."""

    code, status, run = "not_ready", 503, ExecutionStatus.NOT_RUN


class KeyUnverified(LacewingError):
    """The log cannot be read or no owner of the key accepted the call.

    An earlier request with this key may have been executed.
    """

    code, status, run = "key_unverified", 503, ExecutionStatus.UNKNOWN


class Draining(LacewingError):
    """The node is stopping and accepts no new requests."""

    code, status, run = "draining", 503, ExecutionStatus.NOT_RUN


class InProgress(LacewingError):
    """Another request with the same key is executing."""

    code, status, run = "in_progress", 409, ExecutionStatus.IN_PROGRESS


class OutcomeUnknown(LacewingError):
    """The request may or may not have been executed."""

    code, status, run = "outcome_unknown", 502, ExecutionStatus.UNKNOWN


class Quarantined(LacewingError):
    """Identical requests crashed several endpoints."""

    code, status, run = "quarantined", 422, ExecutionStatus.NOT_RUN


class QuarantinedAfterRun(Quarantined):
    """The request is quarantined and was itself sent to an endpoint that crashed."""

    run = ExecutionStatus.UNKNOWN


class CrashesEndpoints(LacewingError):
    """Requests with the same part of a prompt, or identical ones, crashed several endpoints."""

    code, status, run = "crashes_endpoints", 503, ExecutionStatus.NOT_RUN


class BadResumes(LacewingError):
    """The id of the attempt whose stream a request continues is malformed."""

    code, status, run = "bad_resumes", 400, ExecutionStatus.NOT_RUN


class StreamOriginUnknown(LacewingError):
    """It is not known which software version began the stream that a request continues."""

    code, status, run = "stream_origin_unknown", 503, ExecutionStatus.NOT_RUN


class OriginNotRecorded(LacewingError):
    """The store did not take the record of the software version that is to begin a stream."""

    code, status, run = "stream_origin_not_recorded", 503, ExecutionStatus.NOT_RUN


class OriginUncertain(OriginNotRecorded):
    """The store may hold either of two records of a stream, so that it may begin nowhere."""


class StreamVersionGone(LacewingError):
    """No endpoint has the software version that began the stream that a request continues."""

    code, status, run = "stream_version_gone", 503, ExecutionStatus.NOT_RUN


class EndpointFailed(LacewingError):
    """No endpoint completed a repeatable request."""

    code, status, run = "endpoint_failed", 502, ExecutionStatus.UNKNOWN


class ResponseTooLarge(LacewingError):
    """The response cannot be sent to an HTTP/1.0 client, which does not understand chunks."""

    code, status, run = "response_too_large", 502, ExecutionStatus.UNKNOWN


class DeadlineExceeded(LacewingError):
    """The request was sent to an endpoint, but was not answered before its deadline."""

    code, status, run = "deadline_exceeded", 504, ExecutionStatus.UNKNOWN


class AnswerIncomplete(LacewingError):
    """The answer was interrupted after a part of it had been sent."""

    code, status, run = "answer_incomplete", 502, ExecutionStatus.UNKNOWN


class SettingsInvalid(LacewingError):
    """The settings file is invalid; details give ``line``, ``key`` and ``allowed``."""

    code, status = "settings_invalid", 400


class TablesInvalid(LacewingError):
    """The routes, pools or workspaces are invalid."""

    code, status = "tables_invalid", 400


class PublishLost(LacewingError):
    """Another operator's change to the same version was accepted first."""

    code, status = "publish_lost", 409


class LogUnavailable(LacewingError):
    """The log did not accept the operation, which had no effect."""

    code, status, run = "log_unavailable", 503, ExecutionStatus.NOT_RUN


class LogRefused(LogUnavailable):
    """The log stated that it did not execute the operation, or was not reached."""


class LogUncertain(LacewingError):
    """The reply of the log was lost; the append may or may not have taken effect."""

    code, status, run = "log_uncertain", 503, ExecutionStatus.UNKNOWN


class HistoryInvalid(LacewingError):
    """A recorded history cannot be read; details give file and line."""

    code, status = "history_invalid", 400


class PeerRejected(LacewingError):
    """A peer sent an invalid message or failed authentication."""

    code, status = "peer_rejected", 403


class AddressUnavailable(LacewingError):
    """A node cannot listen on an address; details give the ``key`` of the setting."""

    code, status = "address_unavailable", 500


class Unreachable(LacewingError):
    """A node or service that a command needs is unreachable."""

    code, status = "unreachable", 503


class BadArguments(LacewingError):
    """The command line is invalid."""

    code, status = "bad_arguments", 400


class SystemRefused(LacewingError):
    """The operating system refused an operation, such as binding an address."""

    code, status = "system_refused", 500


def all_errors() -> dict[str, type[LacewingError]]:
    """Return the error classes by code.

    Errors that other modules define for internal use are left out: clients never receive them.
    """
    classes: list[type[LacewingError]] = [LacewingError, *LacewingError.__subclasses__()]
    return {cls.code: cls for cls in classes if cls.__module__ == __name__}
