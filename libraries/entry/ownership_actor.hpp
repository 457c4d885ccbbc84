#pragma once

#include <entry/messages.hpp>
#include <entry/unit_supervisor.hpp>

#include <caf/event_based_actor.hpp>

namespace berylhill::entry
{

struct entry_node;

/// Drives the state machine of ownership with what comes from the log, the
/// peers and the platform's list, and keeps the units' actors in line with it.
class ownership_actor : public caf::event_based_actor
{
public:
    ownership_actor(caf::actor_config& config, entry_node& self);

    caf::behavior make_behavior() override;

private:
    void take_page(stream::reader_page const& page);
    void run(ownership::actions const& todo);
    void perform(ownership::append_record const& it);
    void perform(ownership::send_vouch_request const& it);
    void perform(ownership::send_vouch_answer const& it);
    void perform(ownership::send_suspicion const& it);
    void perform(ownership::fetch_entry_list const& it);
    void send_to_instance(std::string const& instance,
                          std::string const& method,
                          Json::Value const& message);

    entry_node& m_node;
    unit_supervisor m_units;
};

} // namespace berylhill::entry
