#pragma once

#include "node/messages_p.h"
#include "table_client/table_client.h"

#include <functional>
#include <optional>

namespace buckthornford {

/// Polls the configuration in the platform's table and makes operators' changes there.
class ConfigurationTask : public Task<ConfigurationMessage>
{
public:
    using Callback = std::function<void(ConfigurationArrived)>;

    /// \a endpoint is the platform's table service. Without one, nothing is polled and every
    /// change is refused. A change takes effect \a propagationDelay after it was accepted.
    /// \a callback receives each newer configuration, on the task's thread.
    ConfigurationTask(const std::optional<Endpoint> &endpoint, Duration propagationDelay,
                      Callback callback);
    ~ConfigurationTask() override;

protected:
    void handle(ConfigurationMessage &&message, TimePoint now) override;
    TimePoint tick(TimePoint now) override;

private:
    void on(ReaderRoleChanged &&message, TimePoint now);
    void on(ChangeRequest &&message, TimePoint now);

    /// The configuration in the table, and its row's version: 0 if there is none yet.
    struct StoredConfiguration
    {
        std::optional<Configuration> configuration;
        std::uint64_t version = 0;
    };

    Result<StoredConfiguration> readStored();
    Result<ChangeOutcome> tryChange(const Change &change);
    Result<std::optional<ChangeOutcome>> findEarlierOutcome(const Change &change);
    void publishIfNewer(const Configuration &configuration);

    std::optional<TableClient> m_table;
    Duration m_propagationDelay;
    Callback m_callback;
    bool m_isReader = true;
    Revision m_newestRevision;
    TimePoint m_nextPoll;
};

} // namespace buckthornford
