#include <rpc/failure_codec.hpp>

namespace berylhill::rpc
{

rpc_error to_error(base::failure const& it)
{
    Json::Value data{Json::objectValue};
    data["code"] = std::string{base::name_of(it.code)};
    // The library puts words of its own before an error's message.
    data["message"] = it.message;
    data["retry_after_s"] = it.retry_after_s;
    return {true, it.message, data};
}

base::failure failure_from(rpc_error const& it)
{
    base::failure out{base::failure_code::outcome_unknown, it.message, 0};
    if (it.data.isObject() && it.data["code"].isString())
    {
        out.code = base::failure_code_from(it.data["code"].asString());
    }
    if (it.data.isObject() && it.data["message"].isString())
    {
        out.message = it.data["message"].asString();
    }
    if (it.data.isObject() && it.data["retry_after_s"].isNumeric())
    {
        out.retry_after_s = it.data["retry_after_s"].asDouble();
    }
    return out;
}

} // namespace berylhill::rpc
