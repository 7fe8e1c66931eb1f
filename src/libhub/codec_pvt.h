/// MessagePack encoding of frames between hosts and of commands in the replicated log.
#pragma once

#include <optional>
#include <string>
#include <string_view>

// msgpack-cxx throws on malformed input; unpack() turns that into an empty result.
#include <msgpack.hpp>

#include <laburnumroute/instance.h>

namespace laburnum::pvt {

/// The encoded form of an InstanceRecord.
struct InstanceRow {
    std::string id;
    std::string service;
    std::string endpoint;
    std::string dataCentre;
    std::string region;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    bool draining = false;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;

    MSGPACK_DEFINE(id, service, endpoint, dataCentre, region, incarnation, version, draining, slots,
        connections)
};

InstanceRow toRow(const InstanceRecord& record);
InstanceRecord fromRow(const InstanceRow& row);

/// Encodes one type byte, then the fields as an array.
template <class Message> std::string pack(const Message& message)
{
    msgpack::sbuffer buffer;
    const auto type = static_cast<char>(Message::type);
    buffer.write(&type, 1);
    msgpack::pack(buffer, message);
    return { buffer.data(), buffer.size() };
}

/// True when the type byte of `bytes` is that of Message.
template <class Message> bool isFrame(std::string_view bytes)
{
    return !bytes.empty() && static_cast<std::uint8_t>(bytes.front()) == Message::type;
}

/// Decodes what pack() wrote; empty when `bytes` is another message or malformed.
template <class Message> std::optional<Message> unpack(std::string_view bytes)
{
    if (!isFrame<Message>(bytes))
        return std::nullopt;
    try {
        const auto handle = msgpack::unpack(bytes.data() + 1, bytes.size() - 1);
        return handle.get().as<Message>();
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

/// `text` compressed with deflate. `dictionary` is a text that both sides have.
std::string deflateText(std::string_view text, std::string_view dictionary);
/// The inverse; Corrupt when `bytes` is damaged or expands to more than `limit` bytes.
Expected<std::string> inflateText(
    std::string_view bytes, std::string_view dictionary, std::size_t limit);

} // namespace laburnum::pvt
