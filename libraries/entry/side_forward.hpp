#pragma once

#include <httplib.h>

#include <string>

namespace berylhill::entry
{

struct entry_node;

/// Work of a contract that the other data centre serves is passed on to an
/// entry there. Returns false, and does nothing, where this side serves it.
/// The request is sent once; another entry is tried only when surely nothing
/// was sent.
[[nodiscard]] bool forward_to_side(entry_node& self,
                                   std::string const& contract,
                                   httplib::Request const& request,
                                   httplib::Response& to);

/// Asks the entries of all other sides for something that is not known here.
/// Returns false, and leaves `to` alone, where none of them knows it either.
[[nodiscard]] bool forward_to_other_sides(entry_node& self,
                                          httplib::Request const& request,
                                          httplib::Response& to);

} // namespace berylhill::entry
