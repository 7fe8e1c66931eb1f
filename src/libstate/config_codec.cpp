// Encoding of configuration changes and of the ledger's snapshots.

#include <laburnumroute/config_ledger.h>
#include <laburnumroute/json.h>

#include "byte_codec_pvt.h"

namespace laburnum {

using namespace pvt;

namespace {

    constexpr std::uint64_t noRevision = ~std::uint64_t { 0 };

    void writeOptional(ByteWriter& writer, const std::optional<Revision>& revision)
    {
        writer.u64(revision ? revision->value() : noRevision);
    }

    std::optional<Revision> readOptional(ByteReader& reader)
    {
        const std::uint64_t value = reader.u64();
        return value == noRevision ? std::nullopt : std::optional(Revision(value));
    }

    void writeVersion(ByteWriter& writer, const ConfigVersion& version)
    {
        writer.u64(version.revision.value());
        writer.text(version.change.value());
        writer.text(version.content);
    }

    ConfigVersion readVersion(ByteReader& reader)
    {
        const Revision revision(reader.u64());
        const ChangeId change(reader.text());
        return { revision, change, reader.text() };
    }

    ConfigRecord readRecord(ByteReader& reader)
    {
        ConfigRecord record;
        record.revision = Revision(reader.u64());
        record.change = ChangeId(reader.text());
        record.note = reader.text();
        record.restored = readOptional(reader);
        return record;
    }

} // namespace

std::string ConfigLedger::snapshot() const
{
    ByteWriter writer;
    writeVersion(writer, m_current);
    writer.u64(m_history.size());
    for (const ConfigRecord& record : m_history) {
        writer.u64(record.revision.value());
        writer.text(record.change.value());
        writer.text(record.note);
        writeOptional(writer, record.restored);
    }
    writer.u64(m_earlierVersions.size());
    for (const ConfigVersion& version : m_earlierVersions)
        writeVersion(writer, version);
    writer.u64(m_changeOrder.size());
    for (const ChangeId& id : m_changeOrder) {
        const Outcome& outcome = m_outcomes.at(id);
        writer.text(id.value());
        writer.u64(outcome.contentHash);
        writer.u64(outcome.expected.value());
        writeOptional(writer, outcome.revision);
    }
    return writer.take();
}

Expected<void> ConfigLedger::restore(std::string_view bytes)
{
    ConfigLedger ledger;
    if (!bytes.empty()) {
        ByteReader reader(bytes);
        ledger.m_current = readVersion(reader);
        for (std::uint64_t left = reader.u64(); left > 0 && !reader.failed(); --left)
            ledger.m_history.push_back(readRecord(reader));
        for (std::uint64_t left = reader.u64(); left > 0 && !reader.failed(); --left) {
            ledger.m_earlierVersions.push_back(readVersion(reader));
            ledger.m_earlierBytes += ledger.m_earlierVersions.back().content.size();
        }
        for (std::uint64_t left = reader.u64(); left > 0 && !reader.failed(); --left) {
            const ChangeId id(reader.text());
            Outcome outcome;
            outcome.contentHash = reader.u64();
            outcome.expected = Revision(reader.u64());
            outcome.revision = readOptional(reader);
            ledger.recordOutcome(id, outcome);
        }
        if (!reader.finished())
            return fail(ErrorCode::Corrupt, "unreadable snapshot of the configuration ledger");
    }
    *this = std::move(ledger);
    return {};
}

std::string encodeConfigChange(const ConfigChange& change)
{
    Json::Value value(Json::objectValue);
    value["id"] = change.id.value();
    value["expected"] = Json::UInt64(change.expected.value());
    value["content"] = change.content;
    value["note"] = change.note;
    if (change.restored)
        value["restored"] = Json::UInt64(change.restored->value());
    return toJsonText(value);
}

Expected<ConfigChange> decodeConfigChange(std::string_view text)
{
    const auto value = parseJson(text);
    if (!value)
        return tl::unexpected<Error>(value.error());
    const auto id = stringMember(*value, "id");
    const auto expected = unsignedMember(*value, "expected");
    const auto content = stringMember(*value, "content");
    const auto note = stringMember(*value, "note");
    if (!id || !expected || !content || !note)
        return fail(ErrorCode::InvalidArgument, "malformed configuration change");
    ConfigChange change { ChangeId(*id), Revision(*expected), *content, *note };
    if (value->isMember("restored")) {
        const auto restored = unsignedMember(*value, "restored");
        if (!restored)
            return tl::unexpected<Error>(restored.error());
        change.restored = Revision(*restored);
    }
    return change;
}

} // namespace laburnum
