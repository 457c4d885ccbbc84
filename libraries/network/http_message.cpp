#include <network/http_message.hpp>

#include <boost/beast/core/string.hpp>

namespace berylhill::network
{

std::vector<std::string> fields_named(std::vector<http_field> const& fields,
                                      std::string const& name)
{
    std::vector<std::string> out;
    for (auto const& it : fields)
    {
        if (boost::beast::iequals(it.name, name))
        {
            out.push_back(it.value);
        }
    }
    return out;
}

std::string field_of(std::vector<http_field> const& fields,
                     std::string const& name)
{
    for (auto const& it : fields)
    {
        if (boost::beast::iequals(it.name, name))
        {
            return it.value;
        }
    }
    return {};
}

} // namespace berylhill::network
