#include "node/configuration_task_p.h"

#include "telemetry/telemetry.h"

namespace buckthornford {

namespace {

constexpr Duration pollInterval = std::chrono::seconds(1);
constexpr int maxChangeTries = 4;
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

ConfigurationTask::ConfigurationTask(const std::optional<Endpoint> &endpoint,
                                     Duration propagationDelay, Callback callback)
    : m_propagationDelay(propagationDelay)
    , m_callback(std::move(callback))
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
    std::visit(
            [this, now](auto &&alternative) {
                on(std::forward<decltype(alternative)>(alternative), now);
            },
            std::move(message));
}

TimePoint ConfigurationTask::tick(TimePoint now)
{
    if (m_table && m_isReader && now >= m_nextPoll) {
        m_nextPoll = now + pollInterval;
        (void)readStored(); // If the table service is down, the next poll tries again.
    }
    return now + pollInterval;
}

void ConfigurationTask::on(ReaderRoleChanged &&message, TimePoint)
{
    m_isReader = message.isReader;
}

void ConfigurationTask::publishIfNewer(const Configuration &configuration)
{
    if (configuration.revision <= m_newestRevision)
        return;
    m_newestRevision = configuration.revision;
    m_callback({configuration});
}

Result<ConfigurationTask::StoredConfiguration> ConfigurationTask::readStored()
{
    const Result<TableRow> row = m_table->read(configurationKey);
    if (!row)
        return row.error();
    StoredConfiguration stored;
    stored.version = row.value().version;
    if (stored.version == 0)
        return stored;
    Result<Configuration> configuration = parseConfiguration(row.value().value);
    if (!configuration) {
        logEvent(LogLevel::Error, "stored-configuration-malformed");
        return configuration.error();
    }
    publishIfNewer(configuration.value());
    stored.configuration = std::move(configuration.value());
    return stored;
}

/// Returns the outcome of \a change if the table already contains it, because the platform's answer
/// to an earlier request was lost. Empty if it does not.
Result<std::optional<ChangeOutcome>> ConfigurationTask::findEarlierOutcome(const Change &change)
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
    const Result<StoredConfiguration> stored = readStored();
    if (!stored)
        return stored.error();
    const Result<std::optional<ChangeOutcome>> earlierOutcome = findEarlierOutcome(change);
    if (!earlierOutcome)
        return earlierOutcome.error();
    if (earlierOutcome.value())
        return *earlierOutcome.value();
    const auto &current = stored.value().configuration;
    const Result<Configuration> changed = applyChange(current ? &*current : nullptr, change,
                                                      steadyWallNow(), m_propagationDelay);
    if (!changed) {
        ChangeOutcome refused;
        refused.error = errorOf(changed.error());
        if (current) {
            refused.revision = current->revision;
            refused.storedChange = current->change;
        }
        return refused;
    }
    TableTransaction transaction;
    transaction.conditions
            = {{configurationKey, stored.value().version}, {changeKey(change.id), 0}};
    transaction.writes = {{configurationKey, toJsonText(changed.value())},
                          {changeKey(change.id), std::to_string(changed.value().revision.value())}};
    const Result<void> committed = m_table->commit(transaction);
    if (!committed)
        return committed.error();
    publishIfNewer(changed.value());
    ChangeOutcome accepted;
    accepted.revision = changed.value().revision;
    return accepted;
}

void ConfigurationTask::on(ChangeRequest &&message, TimePoint)
{
    ChangeOutcome outcome;
    outcome.error = Error::PlatformUnavailable;
    bool mayHaveCommitted = false;
    for (int tryCount = 0; m_table && tryCount < maxChangeTries; ++tryCount) {
        const Result<ChangeOutcome> result = tryChange(message.change);
        if (result) {
            message.reply->post(result.value());
            return;
        }
        outcome.error = errorOf(result.error());
        // After a conflict, the next try reads from the table which change was accepted first; it
        // may have been this one.
        mayHaveCommitted = mayHaveCommitted || mayHaveTakenEffect(outcome.error);
    }
    if (mayHaveCommitted)
        outcome.error = Error::ChangeUnknown;
    message.reply->post(outcome);
}

} // namespace buckthornford
