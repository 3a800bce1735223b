// Compiles Boost.Beast once for the whole project; see BOOST_BEAST_SEPARATE_COMPILATION in CMakeLists.txt.
#include <boost/beast/src.hpp>
