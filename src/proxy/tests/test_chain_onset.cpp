#define BOOST_TEST_MODULE chain_onset
#include "proxy/tests/chain_simulation.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornford;

/// The load rises from 0.6 to 4 times what the leaf can carry within two seconds. Chains that begin
/// before the nodes have learned of it fail at the leaf.
BOOST_AUTO_TEST_CASE(chainsThatBeginWhileTheLoadRisesFourfoldEndWhole)
{
    ChainScenario scenario;
    scenario.crest = 4.0;
    ChainSimulation simulation(scenario);
    simulation.run();
    const ChainCounts all = simulation.crestCounts(0) + simulation.crestCounts(1);
    BOOST_TEST(ratio(all.whole, all.begun) >= 0.95);
}
