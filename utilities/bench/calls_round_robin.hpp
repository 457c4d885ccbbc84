#pragma once

#include "calls_experiment.hpp"

#include <cstddef>

namespace berylhill::bench
{

/// Each call goes to the next minion; what fails or takes too long is sent to
/// the next one again, up to three times.
class round_robin final : public experiment
{
public:
    using experiment::experiment;

private:
    void start(shared_request const& it) override
    {
        if (it->done)
        {
            return;
        }
        if (it->attempts == s_most_attempts)
        {
            finish(*it, false);
            return;
        }
        auto const number = ++it->attempts;
        count_attempt(*it);
        count_send(it->came);
        auto& minion = *m_minions[m_next++ % m_minions.size()];
        auto const again = [this, it, number]
        {
            if (it->attempts == number)
            {
                start(it);
            }
        };
        m_time.after(s_hop,
                     [this, it, again, &minion]
                     {
                         minion.call(
                             [this, it, again](bool ran)
                             {
                                 m_time.after(s_hop,
                                              [this, it, again, ran]
                                              {
                                                  if (ran)
                                                  {
                                                      finish(*it, true);
                                                      return;
                                                  }
                                                  again();
                                              });
                             });
                     });
        m_time.after(m_allowed / 2, again);
    }

    std::size_t m_next{0};
};

} // namespace berylhill::bench
