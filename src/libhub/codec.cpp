#include "codec_pvt.h"

#include <zlib.h>

namespace laburnum::pvt {

namespace {

    constexpr std::size_t outputChunkBytes = std::size_t { 16 } * 1024;

    const Bytef* toBytes(std::string_view text)
    {
        return reinterpret_cast<const Bytef*>(text.data());
    }

    /// The tail of `dictionary` that fits into deflate's window of 32 KiB.
    std::string_view deflateWindow(std::string_view dictionary)
    {
        constexpr std::size_t window = std::size_t { 32 } * 1024;
        return dictionary.size() > window ? dictionary.substr(dictionary.size() - window)
                                          : dictionary;
    }

} // namespace

InstanceRow toRow(const InstanceRecord& record)
{
    return { record.id.value(), record.service.value(), formatEndpoint(record.endpoint),
        record.dataCentre.value(), record.region.value(), record.incarnation, record.version,
        record.phase == InstancePhase::Draining, record.slots, record.connections };
}

InstanceRecord fromRow(const InstanceRow& row)
{
    InstanceRecord record;
    record.id = InstanceId(row.id);
    record.service = ServiceId(row.service);
    record.endpoint = parseEndpoint(row.endpoint).value_or(Endpoint {});
    record.dataCentre = DataCentreId(row.dataCentre);
    record.region = RegionId(row.region);
    record.incarnation = row.incarnation;
    record.version = row.version;
    record.phase = row.draining ? InstancePhase::Draining : InstancePhase::Serving;
    record.slots = row.slots;
    record.connections = row.connections;
    return record;
}

std::string deflateText(std::string_view text, std::string_view dictionary)
{
    z_stream stream {};
    deflateInit(&stream, Z_BEST_COMPRESSION);
    const auto window = deflateWindow(dictionary);
    if (!window.empty())
        deflateSetDictionary(&stream, toBytes(window), static_cast<uInt>(window.size()));
    std::string result(deflateBound(&stream, text.size()), '\0');
    stream.next_in = const_cast<Bytef*>(toBytes(text));
    stream.avail_in = static_cast<uInt>(text.size());
    stream.next_out = reinterpret_cast<Bytef*>(result.data());
    stream.avail_out = static_cast<uInt>(result.size());
    deflate(&stream, Z_FINISH);
    result.resize(stream.total_out);
    deflateEnd(&stream);
    return result;
}

Expected<std::string> inflateText(
    std::string_view bytes, std::string_view dictionary, std::size_t limit)
{
    z_stream stream {};
    inflateInit(&stream);
    const auto window = deflateWindow(dictionary);
    stream.next_in = const_cast<Bytef*>(toBytes(bytes));
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::string result;
    int code = Z_OK;
    while (code == Z_OK && result.size() <= limit) {
        const std::size_t before = result.size();
        result.resize(before + outputChunkBytes);
        stream.next_out = reinterpret_cast<Bytef*>(result.data() + before);
        stream.avail_out = outputChunkBytes;
        code = inflate(&stream, Z_NO_FLUSH);
        if (code == Z_NEED_DICT)
            code = inflateSetDictionary(&stream, toBytes(window), static_cast<uInt>(window.size()));
        result.resize(before + outputChunkBytes - stream.avail_out);
    }
    inflateEnd(&stream);
    if (code != Z_STREAM_END || result.size() > limit)
        return fail(ErrorCode::Corrupt, "compressed text is damaged or exceeds the size limit");
    return result;
}

} // namespace laburnum::pvt
