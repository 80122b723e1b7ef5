#ifndef CARAWAYVALVE_GATEWAY_SRC_CRASH_STORE_H_
#define CARAWAYVALVE_GATEWAY_SRC_CRASH_STORE_H_

#include "carawayvalve/core/crash_state_schedule.h"
#include "carawayvalve/platform/objects.h"
#include "context.h"

namespace carawayvalve::gateway {

// Reads from the store what predecessors knew of crashes, and stores it for the
// successors of all gateways, as core::CrashStateSchedule decides.
class CrashStore {
 public:
  CrashStore(Context& context, platform::ObjectClient& objects)
      : context(context), objects(objects) {}

  // Makes the call that is due, if any. Must be called several times a second.
  void Step();

 private:
  void Perform(const core::ReadCrashState& call);
  void Perform(const core::StoreCrashState& call);
  void OnRead(const platform::ReadResult& result);
  void Merge(const platform::StoredObject& object);
  void OnStored(const platform::WriteResult& result, size_t crashes);
  void OnFailed(const char* outcome);

  Context& context;
  platform::ObjectClient& objects;
  platform::ObjectClient::Handle call;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_CRASH_STORE_H_
