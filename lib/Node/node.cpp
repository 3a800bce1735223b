#include "jasminequay/Node/node.h"

#include "nodecontrol.h"

namespace jasminequay
{

Result<NodeExitReason> runNode(const InstanceSettings &settings, const std::string &treeFile)
{
    NodeControl node(settings, treeFile);
    BOOST_LEAF_CHECK(node.open());
    return node.run();
}

} // namespace jasminequay
