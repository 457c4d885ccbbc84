#include <cell/observed_log.hpp>

#include <utility>

namespace berylhill::cell
{

namespace
{

/// A full store answers everybody alike, so this process reaches it.
bool is_served(append_outcome it)
{
    return it != append_outcome::refused && it != append_outcome::unanswered;
}

bool is_served(read_outcome it)
{
    return it == read_outcome::read || it == read_outcome::trimmed;
}

void note(store_contact& contact,
          store_call of,
          bool served,
          base::instant sent_at,
          base::instant now)
{
    if (served)
    {
        contact.served(sent_at, now);
        return;
    }
    contact.not_served(of, now);
}

} // namespace

observed_log::observed_log(std::unique_ptr<keyed_log> log,
                           base::clock const& clock,
                           store_contact& contact)
    : m_log{std::move(log)}
    , m_clock{clock}
    , m_contact{contact}
{
}

void observed_log::append(std::uint64_t at,
                          std::vector<scheduler::record> const& records,
                          base::duration timeout,
                          append_handler handler)
{
    m_log->append(at, records, timeout,
                  [&contact = m_contact, &clock = m_clock,
                   sent_at = m_clock.now(),
                   handler = std::move(handler)](append_result const& it)
                  {
                      note(contact, store_call::append, is_served(it.outcome),
                           sent_at, clock.now());
                      handler(it);
                  });
}

network::call_handle observed_log::read(read_request const& it,
                                        read_handler handler)
{
    return m_log->read(it,
                       [&contact = m_contact, &clock = m_clock,
                        sent_at = m_clock.now(),
                        handler = std::move(handler)](read_result end)
                       {
                           note(contact, store_call::read,
                                is_served(end.outcome), sent_at, clock.now());
                           handler(std::move(end));
                       });
}

void observed_log::read_newest(std::string const& after,
                               network::call_patience const& patience,
                               newest_handler handler)
{
    m_log->read_newest(
        after, patience,
        [&contact = m_contact, &clock = m_clock, sent_at = m_clock.now(),
         handler = std::move(handler)](newest_result it)
        {
            note(contact, store_call::read, it.answered, sent_at, clock.now());
            handler(std::move(it));
        });
}

} // namespace berylhill::cell
