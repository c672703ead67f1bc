// Keeps streams at the version of the software that began them
// (stream_versions.h): binds the attempts of a call, looks up streams that
// callers take up, and keeps the versions in service.
#ifndef ROSEMARYHOOK_DIRECT_STREAMS_H_
#define ROSEMARYHOOK_DIRECT_STREAMS_H_

#include <memory>
#include <optional>

#include "rosemaryhook/direct_admission.h"
#include "rosemaryhook/direct_call.h"
#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

// Whether the call's answer is a stream that another backend server can
// continue.
bool IsResumable(const DirectCall& call);

// Binds a call that takes a stream up to the version that began the stream.
// Returns a refusal if that is not known.
awaitable<std::optional<DirectRefusal>> BindTakeUp(DirectCall& call);

// Binds the call to the version of its newest attempt's runner, unless it is
// bound, and records the stream. Called just before the caller gets an event.
// Returns false if the caller must not get it, as the record is not written.
awaitable<bool> BindStream(DirectCall& call);

// Records the versions of the listed backend servers. Called with each change
// of the list, so that no stream begins at a new version before it is known.
void RecordListedVersions(Time now, DirectDaemon* daemon);

// Starts the coroutine that keeps the versions; it runs until `is_stopping`.
void StartStreamVersions(const std::shared_ptr<DirectDaemon>& daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_STREAMS_H_
