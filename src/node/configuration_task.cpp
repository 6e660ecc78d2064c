#include "node/configuration_task_p.h"

#include "telemetry/telemetry.h"

namespace buckthornford {

namespace {

constexpr Duration pollInterval = std::chrono::seconds(1);
constexpr int maxTries = 4;
const std::string configurationKey = "configuration";

std::string changeKey(const ChangeId &id)
{
    return "change/" + id.value();
}

bool mayHaveTakenEffect(Error error)
{
    return error == Error::Timeout || error == Error::ConnectionLost || error == Error::AnswerCut;
}

} // namespace

ConfigurationTask::ConfigurationTask(const std::optional<Endpoint> &endpoint, Duration spread,
                                     Callback listener)
    : m_spread(spread)
    , m_listener(std::move(listener))
{
    if (endpoint)
        m_table.emplace(*endpoint);
}

ConfigurationTask::~ConfigurationTask()
{
    stop();
}

void ConfigurationTask::handle(ConfigurationMessage &&message, TimePoint now)
{
    std::visit([this, now](auto &&kind) { on(std::forward<decltype(kind)>(kind), now); },
               std::move(message));
}

TimePoint ConfigurationTask::tick(TimePoint now)
{
    if (m_table && m_isReader && now >= m_nextPoll) {
        m_nextPoll = now + pollInterval;
        (void)readStored(); // If the platform is down, the next poll finds out.
    }
    return now + pollInterval;
}

void ConfigurationTask::on(ReaderRoleChanged &&message, TimePoint)
{
    m_isReader = message.isReader;
}

void ConfigurationTask::learn(const Configuration &configuration)
{
    if (configuration.revision <= m_known)
        return;
    m_known = configuration.revision;
    m_listener({configuration});
}

Result<ConfigurationTask::Stored> ConfigurationTask::readStored()
{
    const Result<TableRow> row = m_table->read(configurationKey);
    if (!row)
        return row.error();
    Stored stored;
    stored.version = row.value().version;
    if (stored.version == 0)
        return stored;
    Result<Configuration> configuration = parseConfiguration(row.value().value);
    if (!configuration) {
        logEvent(LogLevel::Error, "stored-configuration-malformed");
        return configuration.error();
    }
    learn(configuration.value());
    stored.configuration = std::move(configuration.value());
    return stored;
}

/// Looks for the same change from before, whose answer may have been lost.
Result<std::optional<ChangeOutcome>> ConfigurationTask::findEarlier(const Change &change)
{
    const Result<TableRow> row = m_table->read(changeKey(change.id));
    if (!row)
        return row.error();
    if (row.value().version == 0)
        return std::optional<ChangeOutcome>();
    ChangeOutcome outcome;
    outcome.revision = Revision{std::stoull(row.value().value)};
    return std::optional(outcome);
}

Result<ChangeOutcome> ConfigurationTask::tryChange(const Change &change)
{
    const Result<Stored> stored = readStored();
    if (!stored)
        return stored.error();
    const Result<std::optional<ChangeOutcome>> earlier = findEarlier(change);
    if (!earlier)
        return earlier.error();
    if (earlier.value())
        return *earlier.value();
    const auto &before = stored.value().configuration;
    const Result<Configuration> after
            = applyChange(before ? &*before : nullptr, change, steadyWallNow(), m_spread);
    if (!after) {
        ChangeOutcome refused;
        refused.error = errorOf(after.error());
        if (before) {
            refused.revision = before->revision;
            refused.winner = before->change;
        }
        return refused;
    }
    TableTransaction transaction;
    transaction.conditions
            = {{configurationKey, stored.value().version}, {changeKey(change.id), 0}};
    transaction.writes = {{configurationKey, toJsonText(after.value())},
                          {changeKey(change.id), std::to_string(after.value().revision.value())}};
    const Result<void> committed = m_table->commit(transaction);
    if (!committed)
        return committed.error();
    learn(after.value());
    ChangeOutcome accepted;
    accepted.revision = after.value().revision;
    return accepted;
}

void ConfigurationTask::on(ChangeRequest &&message, TimePoint)
{
    ChangeOutcome outcome;
    outcome.error = Error::PlatformUnavailable;
    bool isInDoubt = false;
    for (int attempt = 0; m_table && attempt < maxTries; ++attempt) {
        const Result<ChangeOutcome> result = tryChange(message.change);
        if (result) {
            message.reply->post(result.value());
            return;
        }
        outcome.error = errorOf(result.error());
        // A lost race is looked at again: the table tells who won, or that it was this change.
        isInDoubt = isInDoubt || mayHaveTakenEffect(outcome.error);
    }
    if (isInDoubt)
        outcome.error = Error::ChangeUnknown;
    message.reply->post(outcome);
}

} // namespace buckthornford
