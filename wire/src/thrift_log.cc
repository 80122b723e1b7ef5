#include "thrift_log.h"

#include <thrift/Thrift.h>

#include <mutex>

#include "carawayvalve/base/log.h"

namespace carawayvalve::wire::detail {

namespace {

void WriteLine(const char* line) {
  base::Log("thrift").Debug(line);
}

}  // namespace

void RouteThriftLog() {
  static std::once_flag once;
  std::call_once(
      once, [] { apache::thrift::GlobalOutput.setOutputFunction(&WriteLine); });
}

}  // namespace carawayvalve::wire::detail
