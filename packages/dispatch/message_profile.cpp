// Holds the default message profile.

#include "dispatch/message_profile.h"

namespace quetzalspan::dispatch
{

const message_profile& default_message_profile()
{
    static const message_profile profile;
    return profile;
}

} // namespace quetzalspan::dispatch
