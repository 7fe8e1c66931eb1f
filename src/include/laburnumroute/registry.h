/// Registry of plug-ins. A plug-in folder `name.kind/` defines a Registration at namespace scope;
/// no other code refers to the plug-in.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <laburnumroute/error.h>

namespace laburnum {

/// Factories for implementations of `Interface`, by name. `Args` are the factory's parameters.
/// Filled during static initialization and read-only afterwards, so reads need no lock.
template <class Interface, class... Args> class Registry {
public:
    using Factory = std::function<std::unique_ptr<Interface>(Args...)>;

    static Registry& instance()
    {
        static Registry registry;
        return registry;
    }

    void add(std::string name, Factory factory)
    {
        m_factories[std::move(name)] = std::move(factory);
    }

    /// Creates the plug-in `name`; the message of NotFound lists the known names.
    Expected<std::unique_ptr<Interface>> create(std::string_view name, Args... args) const
    {
        auto found = m_factories.find(name);
        if (found == m_factories.end())
            return fail(ErrorCode::NotFound,
                "no plug-in '" + std::string(name) + "'; known: " + joinedNames());
        return found->second(std::forward<Args>(args)...);
    }

    bool contains(std::string_view name) const
    {
        return m_factories.find(name) != m_factories.end();
    }

    std::vector<std::string> names() const
    {
        std::vector<std::string> result;
        result.reserve(m_factories.size());
        for (const auto& [name, factory] : m_factories)
            result.push_back(name);
        return result;
    }

private:
    std::string joinedNames() const
    {
        std::string joined;
        for (const auto& name : names())
            joined += (joined.empty() ? "" : ", ") + name;
        return joined;
    }

    std::map<std::string, Factory, std::less<>> m_factories;
};

/// Registers a factory during static initialization.
template <class RegistryType> struct Registration {
    Registration(std::string name, typename RegistryType::Factory factory)
    {
        RegistryType::instance().add(std::move(name), std::move(factory));
    }
};

} // namespace laburnum
