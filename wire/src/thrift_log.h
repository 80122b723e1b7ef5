#ifndef CARAWAYVALVE_WIRE_SRC_THRIFT_LOG_H_
#define CARAWAYVALVE_WIRE_SRC_THRIFT_LOG_H_

namespace carawayvalve::wire::detail {

// Routes the output of the Thrift library to the debug log of component
// "thrift". Debug suffices, as its errors reach callers as exceptions. Further
// calls have no effect.
void RouteThriftLog();

}  // namespace carawayvalve::wire::detail

#endif  // CARAWAYVALVE_WIRE_SRC_THRIFT_LOG_H_
