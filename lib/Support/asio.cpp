// Compiles Boost.Asio once for the whole project; see BOOST_ASIO_SEPARATE_COMPILATION in CMakeLists.txt.
#include <boost/asio/impl/src.hpp>
