// Prints the configuration that scripts/demo applies.

#include "carawayvalve/declare/declare.h"

int main() {
  using namespace carawayvalve::declare;
  Declaration declaration;
  declaration.client_accounts = {Account("guild-north"),
                                 Account("guild-south", 4)};
  declaration.services = {ModelService("bench-models", {"bench-7b"}),
                          PlainService("ticket-desk")};
  declaration.routes = {
      WithRepeat(KeyedRoute("desk", "/tickets", "ticket-desk"),
                 carawayvalve::config::Repeat::kNever),
      WithMethods(OpenRoute("desk-public", "/public", "ticket-desk"), {"GET"})};
  return Print(declaration);
}
