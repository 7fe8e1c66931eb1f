#include <laburnumroute/auth.h>

#include "hmac_pvt.h"

namespace laburnum {

namespace {

    constexpr std::string_view domainSeparator = "laburnum-peer-1\n";
    constexpr int bitsPerByte = 8;

    void appendLittleEndian(std::string& out, std::uint64_t number)
    {
        for (std::size_t i = 0; i < sizeof number; ++i)
            out.push_back(static_cast<char>((number >> (bitsPerByte * i)) & 0xff));
    }

} // namespace

FrameAuthenticator::FrameAuthenticator(
    const SharedKey& key, std::string_view challenge, const HostId& receiver)
{
    std::string context(domainSeparator);
    appendLittleEndian(context, challenge.size());
    context += challenge;
    context += receiver.value();
    m_sessionKey = pvt::hmacSha256(key.bytes(), context);
}

std::string FrameAuthenticator::nextTag(std::string_view payload)
{
    std::string message;
    message.reserve(sizeof m_sequence + payload.size());
    appendLittleEndian(message, m_sequence++);
    message += payload;
    return pvt::hmacSha256(m_sessionKey, message).substr(0, frameTagBytes);
}

bool FrameAuthenticator::verifyNext(std::string_view payload, std::string_view tag)
{
    return pvt::equalInConstantTime(nextTag(payload), tag);
}

} // namespace laburnum
